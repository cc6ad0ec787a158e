package ctcontention_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctcontention"
)

// The usual load is three quarters of the member's capacity, a burst more than twice of it.
const (
	usualRate = 200
	burstRate = 600
)

// compare runs an experiment without and with admission control.
func compare(
	t *testing.T, d ctcontention.Deployment, experiment func(w *ctcontention.World) ctcontention.Result,
) (before, after ctcontention.Result) {
	t.Helper()
	before = experiment(ctcontention.New(d, ctcontention.WithoutControl))
	after = experiment(ctcontention.New(d, ctcontention.WithControl))
	t.Logf("%+v\nbefore %+v\nafter  %+v", d, before, after)
	return before, after
}

// assertServes checks that not many fewer requests are served in time than before.
func assertServes(t *testing.T, before, after ctcontention.Result) {
	t.Helper()
	assert.Assert(t, float64(after.InTime)/float64(after.Arrived) >= 0.95*float64(before.InTime)/float64(before.Arrived))
}

// TestContention guards against rejections that come back at once, and against connections that are
// opened while the member counts old ones.
func TestContention(t *testing.T) {
	scarce := ctcontention.Deployment{Count: 10, Share: 4, MaxConnections: 42}
	t.Run("a burst is not rejected by the member", func(t *testing.T) {
		before, after := compare(t, scarce, func(w *ctcontention.World) ctcontention.Result {
			w.Run(3*time.Second, usualRate)
			return w.Measure(2*time.Second, burstRate)
		})
		assert.Assert(t, before.Rejected > 1000 && after.Rejected < 50)
		assertServes(t, before, after)
	})
	t.Run("a member that rejects all is not sent each request again and again", func(t *testing.T) {
		before, after := compare(t, scarce, func(w *ctcontention.World) ctcontention.Result {
			w.Run(time.Second, usualRate)
			w.RejectsAll = true
			return w.Measure(time.Second, usualRate)
		})
		assert.Assert(t, before.Rejected > 5*before.Arrived && after.Rejected < after.Arrived)
	})
	t.Run("connections after a loss fit in beside the old ones", func(t *testing.T) {
		d := ctcontention.Deployment{Count: 10, Share: 3, MaxConnections: 42}
		before, after := compare(t, d, func(w *ctcontention.World) ctcontention.Result {
			w.Run(time.Second, burstRate)
			w.LosePower()
			return w.Measure(ctcontention.OldConnectionsTTL+time.Second, usualRate)
		})
		assert.Assert(t, after.ConnectionsRejected < before.ConnectionsRejected && after.InTime > before.InTime)
	})
	t.Run("a proxy that sends far more than the others does not displace them", func(t *testing.T) {
		d := ctcontention.Deployment{Count: 10, Share: 40, MaxConnections: 400}
		before, after := compare(t, d, func(w *ctcontention.World) ctcontention.Result {
			w.Skew = 30
			w.Run(5*time.Second, usualRate/2)
			return w.Measure(4*time.Second, usualRate/2)
		})
		assert.Assert(t, after.OthersInTime >= before.OthersInTime*95/100 && after.Rejected < before.Rejected/10)
		assertServes(t, before, after)
	})
	// With 60 proxies, one statement of each is more than the member takes.
	for _, c := range []struct {
		count, share int
		inFlight     float64
	}{{1, 50, 25}, {10, 20, 25}, {60, 3, ctcontention.Slots + ctcontention.QueueDepth}} {
		t.Run("the limit converges near the slots", func(t *testing.T) {
			d := ctcontention.Deployment{Count: c.count, Share: c.share, MaxConnections: 200}
			before, after := compare(t, d, func(w *ctcontention.World) ctcontention.Result {
				w.Run(3*time.Second, usualRate)
				w.Run(2*time.Second, burstRate)
				return w.Measure(4*time.Second, burstRate)
			})
			assert.Assert(t, after.InFlight < c.inFlight && after.Rejected < before.Rejected/10)
			assertServes(t, before, after)
		})
	}
	t.Run("nothing changes where there is room", func(t *testing.T) {
		d := ctcontention.Deployment{Count: 3, Share: 14, MaxConnections: 42}
		before, after := compare(t, d, func(w *ctcontention.World) ctcontention.Result {
			return w.Measure(20*time.Second, usualRate/2)
		})
		assert.Equal(t, before, after)
	})
}
