package ctregister_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// applyLeaseTTL applies a change that sets the lease TTL. The change is accepted at
// the Unix epoch plus at.
func applyLeaseTTL(r *ctregister.Register, at, ttl time.Duration) {
	c := configureCommand(ctid.Change(fmt.Sprintf("at-%s", at)), r.CurrentConfig().Revision, "g")
	c.At = time.Unix(0, 0).Add(at)
	c.Change.Document.Defaults.Failovers.LeaseTTL = ctconfig.Duration(ttl)
	r.Apply(c)
}

func assertLongestLease(t *testing.T, r *ctregister.Register, want time.Duration) {
	t.Helper()
	assert.Equal(t, r.LongestLease("g"), want)
}

func TestLongestLease(t *testing.T) {
	const short, long = time.Second, 4 * time.Second
	t.Run("is the TTL of the only configuration", func(t *testing.T) {
		var r ctregister.Register
		applyLeaseTTL(&r, 0, short)
		assertLongestLease(t, &r, short)
	})
	t.Run("includes recently replaced configurations", func(t *testing.T) {
		var r ctregister.Register
		applyLeaseTTL(&r, 0, long)
		for i := range time.Duration(5) {
			applyLeaseTTL(&r, (i+1)*time.Hour, short)
		}
		assertLongestLease(t, &r, long)
	})
	t.Run("ignores a configuration replaced eight changes ago", func(t *testing.T) {
		var r ctregister.Register
		applyLeaseTTL(&r, 0, long)
		for i := range time.Duration(8) {
			applyLeaseTTL(&r, (i+1)*time.Hour, short)
		}
		assertLongestLease(t, &r, short)
	})
	t.Run("includes an exception that has expired since", func(t *testing.T) {
		var r ctregister.Register
		expiresAt := time.Unix(0, 0).Add(time.Second)
		c := configureCommand("first", 0, "g")
		c.At = time.Unix(0, 0)
		c.Change.Document.Defaults.Failovers.LeaseTTL = ctconfig.Duration(short)
		e := ctconfig.Exception{Group: "g", Reason: "slow network", ExpiresAt: &expiresAt}
		e.Settings.Failovers.LeaseTTL = ctconfig.Duration(long)
		c.Change.Document.Exceptions = []ctconfig.Exception{e}
		r.Apply(c)
		assertLongestLease(t, &r, long)
	})
}
