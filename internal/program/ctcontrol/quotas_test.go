package ctcontrol

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquota"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctrecord"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// quotaBounds make the ceiling of the tests' workspace 100.
var quotaBounds = ctquota.Bounds{Window: 5 * time.Second}

// newQuotaLeader returns a control process that leads a fleet with one limited workspace.
func newQuotaLeader() (*Control, *ctclock.Manual) {
	clock := &ctclock.Manual{}
	clock.Advance(time.Hour)
	c := New(Options{Name: "a", Clock: clock, Quotas: quotaBounds, Logger: zerolog.Nop()})
	c.SetProposer(ignoredProposals{})
	var held ctlock.Held
	c.state.With(&held, func(l *leaderState) { l.register.ConfigHistory = []ctconfig.AcceptedChange{limitedConfig()} })
	lead(c, clock, 1)
	return c, clock
}

// ignoredProposals is a Proposer whose commands are never committed.
type ignoredProposals struct{}

func (ignoredProposals) Propose(ctquorum.ProposalID, []byte) {}

// lead makes a control process the leader of an epoch.
func lead(c *Control, clock *ctclock.Manual, epoch ctquorum.Epoch) {
	c.BecomeLeader(epoch)
	c.SetAuthority(clock.Now().Add(time.Hour))
}

// reportQuota sends a report on the workspace, as another control process forwards it, and
// returns the cap that the proxy has after the reply; -1 if it is not renewed.
func reportQuota(c *Control, proxy ctid.Proxy, number uint64, granted, refused ctid.Operations) ctid.Operations {
	var held ctlock.Held
	reply := c.HandleReportBatch(&held, &ctframe.ReportBatch{Reports: []ctview.Report{{
		Number: number, Proxy: ctview.Proxy{Name: proxy, Incarnation: 1}, Revision: 1,
		Quotas: []ctview.QuotaDemand{{Workspace: "w", Cap: granted, Refused: refused}},
	}}})
	quotas := reply.Replies[0].Quotas
	switch {
	case quotas == nil:
		return -1
	case len(quotas.Caps) == 0:
		return granted
	}
	return quotas.Caps[0].Cap
}

// setMark applies a mark of the workspace as the replicated log does.
func setMark(t *testing.T, c *Control, index ctquorum.Index, mark ctid.Operations) {
	t.Helper()
	marks := map[ctid.Workspace]ctid.Operations{"w": mark}
	data, err := ctrecord.EncodeCommand(ctregister.SetQuotaMarks{Marks: marks})
	assert.NilError(t, err)
	assert.NilError(t, c.Apply(index, data))
}

// Caps must reach proxies whose reports another control process forwards, and only with
// authority.
func TestQuotasInReplies(t *testing.T) {
	t.Run("a batch carries caps back", func(t *testing.T) {
		c, _ := newQuotaLeader()
		setMark(t, c, 1, 60)
		assert.Assert(t, reportQuota(c, "p", 1, 0, 4) > 0)
	})
	t.Run("without authority none are renewed", func(t *testing.T) {
		c, clock := newQuotaLeader()
		c.SetAuthority(clock.Now())
		assert.Equal(t, reportQuota(c, "p", 1, 0, 4), ctid.Operations(-1))
	})
	t.Run("a proxy that stops gets none", func(t *testing.T) {
		c, _ := newQuotaLeader()
		var held ctlock.Held
		reply := c.HandleReport(&held, &ctview.Report{
			Number: 1, Stopping: true, Quotas: []ctview.QuotaDemand{{Workspace: "w"}},
		})
		assert.Assert(t, reply.Quotas == nil)
	})
	t.Run("a fleet without limits has no quotas in replies", func(t *testing.T) {
		c := New(Options{Name: "a", Clock: &ctclock.Manual{}})
		lead(c, &ctclock.Manual{}, 1)
		var held ctlock.Held
		assert.Assert(t, c.HandleReport(&held, &ctview.Report{Number: 1}).Quotas == nil)
	})
}

// A new leader must not grant what its predecessors may have granted.
func TestQuotaMarks(t *testing.T) {
	const demand = 1000
	t.Run("the first leader of a fleet grants as far as the mark is durable", func(t *testing.T) {
		c, _ := newQuotaLeader()
		assert.Equal(t, reportQuota(c, "p", 1, 0, demand), ctid.Operations(0))
		setMark(t, c, 1, 60)
		assert.Equal(t, reportQuota(c, "p", 2, 0, demand), ctid.Operations(60))
	})
	t.Run("a leader that leads again renews, and grants others what a higher mark leaves", func(t *testing.T) {
		c, clock := newQuotaLeader()
		setMark(t, c, 1, 60)
		reportQuota(c, "p", 1, 0, demand)
		c.BecomeFollower(ctquorum.Peer{})
		lead(c, clock, 2)
		assert.Equal(t, reportQuota(c, "q", 1, 0, demand), ctid.Operations(0))
		assert.Equal(t, reportQuota(c, "p", 2, 60, 40), ctid.Operations(60))
		setMark(t, c, 2, 75)
		assert.Equal(t, reportQuota(c, "q", 2, 0, demand), ctid.Operations(15))
	})
	t.Run("a snapshot holds the marks", func(t *testing.T) {
		c, _ := newQuotaLeader()
		setMark(t, c, 1, 60)
		data, err := c.Snapshot()
		assert.NilError(t, err)
		other := New(Options{Name: "b", Clock: &ctclock.Manual{}, Quotas: quotaBounds})
		assert.NilError(t, other.Restore(data))
		var held ctlock.Held
		other.state.With(&held, func(l *leaderState) {
			assert.Equal(t, l.register.QuotaMarks["w"], ctid.Operations(60))
		})
	})
}

// The metrics must list the caps of the leader alone, and no workspace without a limit.
func TestQuotaMetrics(t *testing.T) {
	// check makes the periodic checks of the leader.
	check := func(c *Control, clock *ctclock.Manual) {
		clock.Advance(2 * time.Second)
		var held ctlock.Held
		c.state.With(&held, func(l *leaderState) { c.tick(clock.Now(), l) })
	}
	c, clock := newQuotaLeader()
	setMark(t, c, 1, 60)
	granted := reportQuota(c, "p", 1, 0, 4)
	check(c, clock)
	t.Run("the leader has the caps", func(t *testing.T) {
		assert.Equal(t, testutil.ToFloat64(c.Metrics.QuotaCaps.WithLabelValues("w")), float64(granted))
	})
	t.Run("a limit that has ended is not listed", func(t *testing.T) {
		var held ctlock.Held
		c.state.With(&held, func(l *leaderState) { l.quotaLedger.SetLimits(nil) })
		check(c, clock)
		assert.Equal(t, testutil.CollectAndCount(c.Metrics.QuotaCaps), 0)
	})
	t.Run("a process that leads no more lists none", func(t *testing.T) {
		other, clock := newQuotaLeader()
		check(other, clock)
		assert.Equal(t, testutil.CollectAndCount(other.Metrics.QuotaCaps), 1)
		other.BecomeFollower(ctquorum.Peer{})
		assert.Equal(t, testutil.CollectAndCount(other.Metrics.QuotaCaps), 0)
	})
}

// limitedConfig returns the configuration of a group, and a workspace whose ceiling is 100.
func limitedConfig() ctconfig.AcceptedChange {
	return ctconfig.AcceptedChange{Revision: 1, Change: ctconfig.Change{ID: "first", Document: ctconfig.Document{
		Groups:     []ctconfig.Group{{Name: "g", Promotion: ctconfig.PromotionExternal}},
		Workspaces: []ctconfig.Workspace{{Name: "w", Limit: &ctconfig.RateLimit{PerSecond: 20}}},
	}}}
}
