package ctintake_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctintake"
)

// TestRecent guards against an address that is forgotten too early or kept for ever.
func TestRecent(t *testing.T) {
	const period = time.Second
	begin := time.Unix(0, 0)
	a, b, c := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2"), netip.MustParseAddr("10.0.0.3")
	newRecent := func(t *testing.T) *ctintake.Recent {
		t.Helper()
		r := &ctintake.Recent{Period: period, Limit: 2}
		assert.Assert(t, r.Add(begin, a) && r.Add(begin, b))
		return r
	}
	t.Run("an address is held for the period", func(t *testing.T) {
		r := newRecent(t)
		assert.Assert(t, r.Contains(begin.Add(period-1), a))
		assert.Assert(t, !r.Contains(begin.Add(period), a))
		assert.Assert(t, !r.Contains(begin, c))
	})
	t.Run("it is held for longer if it is added again", func(t *testing.T) {
		r := newRecent(t)
		assert.Assert(t, r.Add(begin.Add(period/2), a))
		assert.Assert(t, r.Contains(begin.Add(period), a))
	})
	t.Run("there is no room for another one before a period is over", func(t *testing.T) {
		r := newRecent(t)
		assert.Assert(t, !r.Add(begin, c))
		assert.Assert(t, r.Add(begin.Add(period), c) && r.Contains(begin.Add(period), c))
	})
}

// TestNewAddress guards against a control process at a new address that never gets through to one
// which many proxies try to reach, and against proxies that use its right for more connections.
func TestNewAddress(t *testing.T) {
	const attempts = 10
	gate := ctintake.NewGate()
	now := time.Unix(0, 0)
	proxy, joining := netip.MustParseAddr("10.0.1.1"), netip.MustParseAddr("10.0.0.7")
	for range ctintake.AcceptBurst {
		assert.Assert(t, gate.AdmitFrom(now, proxy))
	}
	t.Run("a new address is accepted beyond the rate", func(t *testing.T) {
		assert.Assert(t, gate.AdmitFrom(now, joining))
	})
	t.Run("but only once in a period", func(t *testing.T) {
		for range attempts {
			assert.Assert(t, !gate.AdmitFrom(now, joining) && !gate.AdmitFrom(now, proxy))
		}
	})
	t.Run("an address is accepted at the rate if there is no room to record it", func(t *testing.T) {
		full := ctintake.Gate{Rate: 1, Burst: 1}
		assert.Assert(t, full.AdmitFrom(now, proxy))
		assert.Assert(t, !full.AdmitFrom(now, joining))
	})
}
