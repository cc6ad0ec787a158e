package ctquota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquota"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctdrift"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// The workspace of the fixture has a ceiling of 100 operations in 5 s and a mark of 80.
const (
	fixtureCeiling  = 100
	fixtureCapacity = 80
	fixtureReserve  = fixtureCeiling - fixtureCapacity
)

var fixtureBounds = ctquota.Bounds{Window: 5 * time.Second}

// windowTime and leaseTime are how long a leader counts a window and a lease by its clock.
var (
	windowTime = ctdrift.UpperBound(fixtureBounds.Window)
	leaseTime  = ctdrift.UpperBound(ctquota.LeaseTTL)
)

// fixture is a ledger with a clock of the test's.
type fixture struct {
	ledger *ctquota.Ledger
	now    time.Time
	last   map[ctid.Proxy]uint64
}

// newFixture returns a fixture whose ledger knows all caps, and that none is in use.
func newFixture() *fixture {
	b := &fixture{now: time.Unix(1000, 0), last: make(map[ctid.Proxy]uint64)}
	b.lead(0)
	b.setMark(fixtureCapacity)
	b.now = b.now.Add(leaseTime + windowTime)
	return b
}

// lead replaces the ledger by that of a new leader, which finds a mark.
func (b *fixture) lead(mark ctid.Operations) {
	b.ledger = ctquota.NewLedger(fixtureBounds, b.now, map[ctid.Workspace]ctid.Operations{"w": mark})
	b.ledger.SetLimits([]ctconfig.Workspace{limitedTo(fixtureCeiling)})
}

// setMark makes a mark durable.
func (b *fixture) setMark(mark ctid.Operations) {
	b.ledger.SetMarks(map[ctid.Workspace]ctid.Operations{"w": mark})
}

func limitedTo(ceiling float64) ctconfig.Workspace {
	return ctconfig.Workspace{Name: "w", Limit: &ctconfig.RateLimit{Burst: ceiling}}
}

// message returns the next report of a holder that has a cap and asks for operations.
func (b *fixture) message(proxy ctid.Proxy, granted, asked ctid.Operations) *ctquota.Report {
	b.last[proxy]++
	started := min(asked, granted)
	return &ctquota.Report{
		Holder: ctquota.Holder{Proxy: proxy, Incarnation: 1}, Number: b.last[proxy], Renewable: true,
		Demands: []ctview.QuotaDemand{{Workspace: "w", Cap: granted, Started: started, Refused: asked - started}},
	}
}

// apply applies a report and returns the cap that the holder has after the reply; 0 if it is
// not renewed.
func (b *fixture) apply(report *ctquota.Report) ctid.Operations {
	grant := b.ledger.Apply(b.now, report)
	switch {
	case grant == nil:
		return 0
	case len(grant.Caps) > 0:
		return grant.Caps[0].Cap
	}
	return report.Demands[0].Cap
}

func (b *fixture) report(proxy ctid.Proxy, granted, asked ctid.Operations) ctid.Operations {
	return b.apply(b.message(proxy, granted, asked))
}

// assertFreeAfter checks that another holder gets at most the operations that are left over
// until a time has passed, and more afterwards.
func (b *fixture) assertFreeAfter(t *testing.T, d time.Duration, left ctid.Operations) {
	t.Helper()
	b.now = b.now.Add(d - 200*time.Millisecond)
	granted := b.report("other", 0, 1000)
	assert.Assert(t, granted <= left, "%d granted, %d left", granted, left)
	b.now = b.now.Add(400 * time.Millisecond)
	again := b.report("other", granted, 1000)
	assert.Assert(t, again > left, "%d granted after all has expired", again)
}

// A holder that is cut off at any step of a lease's life must not leave room to others while
// it, or what it has started, still counts.
func TestPartitionAtEachStep(t *testing.T) {
	t.Run("before its report arrives: nothing counts", func(t *testing.T) {
		b := newFixture()
		assert.Equal(t, b.report("other", 0, 1000), ctid.Operations(fixtureCapacity))
	})
	t.Run("before the reply arrives: the cap counts as if it had", func(t *testing.T) {
		b := newFixture()
		assert.Equal(t, b.report("cut", 0, 1000), ctid.Operations(fixtureCapacity))
		b.assertFreeAfter(t, leaseTime+windowTime, 0)
	})
	t.Run("while it uses the cap", func(t *testing.T) {
		b := newFixture()
		b.report("cut", b.report("cut", 0, 1000), 1000)
		b.assertFreeAfter(t, leaseTime+windowTime, 0)
	})
	t.Run("before a lower cap arrives: the higher one counts", func(t *testing.T) {
		b := newFixture()
		b.report("cut", b.report("cut", 0, 1000), 1000)
		b.report("other", 0, 1000)
		lowered := b.report("cut", fixtureCapacity, fixtureCapacity)
		assert.Assert(t, lowered < fixtureCapacity, "%d", lowered)
		b.assertFreeAfter(t, leaseTime+windowTime, 0)
	})
	t.Run("after it has confirmed a lower cap: what it has started counts", func(t *testing.T) {
		const started = 60
		b := newFixture()
		b.report("cut", 0, 1000)
		confirmed := b.message("cut", 5, started)
		confirmed.Demands[0].Started, confirmed.Demands[0].Refused = started, 0
		confirmed.Renewable = false
		b.apply(confirmed)
		b.assertFreeAfter(t, leaseTime+windowTime, fixtureCapacity-started)
	})
	t.Run("after it has confirmed that it started little: the rest is free at once", func(t *testing.T) {
		b := newFixture()
		b.report("cut", 0, 1000)
		lowered := b.report("cut", fixtureCapacity, 8)
		b.report("cut", lowered, 8)
		assert.Equal(t, b.report("other", 0, 1000), fixtureCapacity-lowered)
	})
	t.Run("after it has given the cap up", func(t *testing.T) {
		b := newFixture()
		b.report("cut", 0, 1000)
		givenUp := b.message("cut", 0, 0)
		givenUp.Demands = nil
		b.ledger.Apply(b.now, givenUp)
		b.assertFreeAfter(t, windowTime, 0)
	})
	t.Run("until it restarts", func(t *testing.T) {
		b := newFixture()
		b.report("cut", 0, 1000)
		restarted := b.message("cut", 0, 0)
		restarted.Holder.Incarnation, restarted.Number = 2, 1
		b.apply(restarted)
		b.assertFreeAfter(t, windowTime, 0)
	})
	t.Run("after a change of the leader, before it reports", func(t *testing.T) {
		b := newFixture()
		b.report("cut", 0, 1000)
		b.lead(fixtureCapacity)
		b.setMark(fixtureCeiling)
		b.assertFreeAfter(t, leaseTime+windowTime, fixtureReserve)
	})
	t.Run("after a change of the leader and its report", func(t *testing.T) {
		b := newFixture()
		b.report("cut", 0, 1000)
		b.lead(fixtureCapacity)
		b.setMark(fixtureCeiling)
		assert.Equal(t, b.report("cut", fixtureCapacity, 0), ctid.Operations(fixtureCapacity))
		b.assertFreeAfter(t, leaseTime+windowTime, fixtureReserve)
	})
	t.Run("after two changes of the leader", func(t *testing.T) {
		b := newFixture()
		b.report("cut", 0, 1000)
		b.lead(fixtureCapacity)
		b.setMark(fixtureCeiling)
		b.lead(fixtureCeiling)
		b.assertFreeAfter(t, leaseTime+windowTime, 0)
	})
	t.Run("after a change of the leader whose higher mark is not durable", func(t *testing.T) {
		b := newFixture()
		b.report("cut", 0, 1000)
		b.lead(fixtureCapacity)
		assert.Assert(t, b.ledger.WantedMarks(b.now) == nil)
		assert.Equal(t, b.report("other", 0, 1000), ctid.Operations(0))
		assert.Equal(t, b.ledger.WantedMarks(b.now)["w"], ctid.Operations(fixtureCeiling))
		assert.Equal(t, b.report("other", 0, 1000), ctid.Operations(0))
	})
}

// A mark must rise before the caps do, and bind this leader as soon as a lower one is proposed.
func TestMarks(t *testing.T) {
	t.Run("caps wait for a higher mark", func(t *testing.T) {
		b := newFixture()
		assert.Equal(t, b.report("a", 0, 1000), ctid.Operations(fixtureCapacity))
		assert.Equal(t, b.ledger.WantedMarks(b.now)["w"], ctid.Operations(fixtureCeiling))
		assert.Equal(t, b.report("a", fixtureCapacity, 1000), ctid.Operations(fixtureCapacity))
		b.setMark(fixtureCeiling)
		assert.Equal(t, b.report("a", fixtureCapacity, 1000), ctid.Operations(fixtureCeiling))
	})
	t.Run("a mark that was not committed is proposed again", func(t *testing.T) {
		b := newFixture()
		b.report("a", 0, 1000)
		assert.Equal(t, len(b.ledger.WantedMarks(b.now)), 1)
		assert.Equal(t, len(b.ledger.WantedMarks(b.now)), 0)
		b.now = b.now.Add(2 * time.Second)
		assert.Equal(t, len(b.ledger.WantedMarks(b.now)), 1)
	})
	t.Run("a lower mark binds before it is durable", func(t *testing.T) {
		b := newFixture()
		b.report("a", 0, 0)
		lowered, ok := b.ledger.WantedMarks(b.now)["w"]
		assert.Assert(t, ok && lowered < fixtureCapacity/2)
		assert.Equal(t, b.report("a", 0, 1000), lowered)
	})
	t.Run("no lower mark while a former cap counts", func(t *testing.T) {
		b := newFixture()
		b.report("a", 0, 1000)
		b.report("a", fixtureCapacity, 0)
		wanted := b.ledger.WantedMarks(b.now)["w"]
		assert.Assert(t, wanted == 0 || wanted >= fixtureCapacity)
	})
}

// A report that arrives late must not make the ledger forget a newer cap.
func TestLateReports(t *testing.T) {
	t.Run("an earlier report of the same run", func(t *testing.T) {
		b := newFixture()
		late := b.message("cut", 0, 0)
		b.report("cut", 0, 1000)
		assert.Assert(t, b.ledger.Apply(b.now, late) == nil)
		b.assertFreeAfter(t, leaseTime+windowTime, 0)
	})
	t.Run("a report of a former run", func(t *testing.T) {
		b := newFixture()
		late := b.message("cut", 0, 0)
		late.Number = 99
		restarted := b.message("cut", 0, 1000)
		restarted.Holder.Incarnation = 2
		b.apply(restarted)
		assert.Assert(t, b.ledger.Apply(b.now, late) == nil)
		b.assertFreeAfter(t, leaseTime+windowTime, 0)
	})
	t.Run("a cap that has expired is not believed", func(t *testing.T) {
		b := newFixture()
		b.report("other", 0, 1000)
		assert.Equal(t, b.report("late", 50, 1000), ctid.Operations(0))
	})
}

// After a loss of all processes, the first holders to report must not take all that a new
// leader may grant.
func TestReserveIsShared(t *testing.T) {
	b := newFixture()
	b.lead(fixtureCapacity)
	b.setMark(fixtureCeiling)
	proxies := []ctid.Proxy{"a", "b", "c", "d"}
	caps := make(map[ctid.Proxy]ctid.Operations)
	for range 4 {
		for _, proxy := range proxies {
			caps[proxy] = b.report(proxy, caps[proxy], 30)
		}
		b.now = b.now.Add(reportInterval)
	}
	for _, proxy := range proxies {
		assert.Assert(t, caps[proxy] >= fixtureReserve/4-1 && caps[proxy] <= fixtureReserve/4+1, "%v", caps)
	}
}

// What a reply must say, and what it leaves out.
func TestGrants(t *testing.T) {
	t.Run("an idle owner gets a cap", func(t *testing.T) {
		assert.Equal(t, newFixture().report("a", 0, 0), ctid.Operations(fixtureCeiling/8+2))
	})
	t.Run("a cap that does not change is left out", func(t *testing.T) {
		b := newFixture()
		again := b.ledger.Apply(b.now, b.message("a", b.report("a", 0, 2), 2))
		assert.Equal(t, len(again.Caps), 0)
		assert.Equal(t, time.Duration(again.TTL), ctquota.LeaseTTL)
	})
	t.Run("a workspace over its limit is marked", func(t *testing.T) {
		b := newFixture()
		grant := b.ledger.Apply(b.now, b.message("a", 0, 1000))
		assert.Assert(t, grant.Caps[0].Limited)
	})
	t.Run("one that waits for the charges of others is not", func(t *testing.T) {
		b := newFixture()
		b.report("a", 0, 1000)
		b.report("a", fixtureCapacity, 10)
		b.report("a", 0, 0)
		grant := b.ledger.Apply(b.now, b.message("b", 0, 50))
		assert.Assert(t, len(grant.Caps) == 0 || !grant.Caps[0].Limited)
	})
	t.Run("without authority nothing is renewed", func(t *testing.T) {
		b := newFixture()
		report := b.message("a", 0, 0)
		report.Renewable = false
		assert.Assert(t, b.ledger.Apply(b.now, report) == nil)
	})
	t.Run("without limits nothing is granted", func(t *testing.T) {
		b := newFixture()
		b.ledger.SetLimits([]ctconfig.Workspace{{Name: "w"}})
		assert.Assert(t, b.ledger.Apply(b.now, &ctquota.Report{Renewable: true}) == nil)
	})
	t.Run("a holder without the newest configuration keeps a cap whose limit has ended", func(t *testing.T) {
		b := newFixture()
		before := b.report("a", 0, 10)
		b.ledger.SetLimits(nil)
		assert.Equal(t, b.report("a", before, 10), before)
	})
	t.Run("a lower limit lowers all caps with the next reports", func(t *testing.T) {
		b := newFixture()
		caps := map[ctid.Proxy]ctid.Operations{"a": b.report("a", 0, 40), "b": b.report("b", 0, 20)}
		b.ledger.SetLimits([]ctconfig.Workspace{limitedTo(10)})
		sum := ctid.Operations(0)
		for _, proxy := range []ctid.Proxy{"a", "b", "a", "b"} {
			caps[proxy] = b.report(proxy, caps[proxy], 30)
		}
		for _, granted := range caps {
			sum += granted
		}
		assert.Assert(t, sum <= 10, "%v", caps)
	})
}
