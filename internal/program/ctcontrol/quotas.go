package ctcontrol

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquota"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
)

const (
	// quotaCheckInterval is how often the leader drops expired caps of silent holders and
	// updates the metrics.
	quotaCheckInterval = time.Second
	// quotaMarkInterval is the least time between two proposals of marks, each of which is
	// an entry of the replicated log.
	quotaMarkInterval = 50 * time.Millisecond
	// limitedLogDelay is for how long a workspace must be within its limit before the log
	// says so. One with high demand is within it for short times.
	limitedLogDelay = 5 * time.Second
)

// quotaState is what a control process knows of the caps of workspaces.
type quotaState struct {
	bounds ctquota.Bounds
	// quotaLedger has the caps since this process last became the leader; nil before.
	quotaLedger *ctquota.Ledger
	checkedAt   time.Time
	// marksCheckedAt is when marks were last compared with what caps need.
	marksCheckedAt time.Time
	// measured holds the workspaces that the metrics list.
	measured ctset.Set[ctid.Workspace]
	// limitedAt holds when each workspace that is logged as limited last was.
	limitedAt map[ctid.Workspace]time.Time
}

// startQuotas creates the ledger of a new leader.
func (l *leaderState) startQuotas(now time.Time) {
	l.quotaLedger = ctquota.NewLedger(l.bounds, now, l.register.QuotaMarks)
	l.limitedAt = make(map[ctid.Workspace]time.Time)
}

// applyQuotas applies what a report says of caps, and renews them in the reply if it grants
// authority. A proxy that stops leaves its caps to expire.
func applyQuotas(now time.Time, l *leaderState, report *ctview.Report, reply *ctview.Reply) {
	if report.Stopping {
		return
	}
	reply.Quotas = l.quotaLedger.Apply(now, &ctquota.Report{
		Holder:    ctquota.Holder{Proxy: report.Proxy.Name, Incarnation: report.Proxy.Incarnation},
		Number:    report.Number,
		Demands:   report.Quotas,
		Renewable: reply.AuthorityTTL > 0,
	})
}

// proposeQuotaMarks proposes the marks that caps are waiting for.
func (c *Control) proposeQuotaMarks(now time.Time, l *leaderState) {
	if now.Sub(l.marksCheckedAt) < quotaMarkInterval || !l.hasAuthority(now) {
		return
	}
	l.marksCheckedAt = now
	if marks := l.quotaLedger.WantedMarks(now); len(marks) > 0 {
		c.propose(l, ctregister.SetQuotaMarks{Marks: marks}, nil)
	}
}

// checkQuotas drops expired caps, and reports the state of all workspaces with limits in the
// metrics and the log.
func (c *Control) checkQuotas(now time.Time, l *leaderState) {
	if now.Sub(l.checkedAt) < quotaCheckInterval {
		return
	}
	l.checkedAt = now
	l.quotaLedger.Expire(now)
	before := l.measured
	l.measured = ctset.Set[ctid.Workspace]{}
	for _, state := range l.quotaLedger.States() {
		l.measured.Add(state.Workspace)
		name := string(state.Workspace)
		c.Metrics.QuotaCaps.WithLabelValues(name).Set(float64(state.Caps))
		c.Metrics.QuotaCharges.WithLabelValues(name).Set(float64(state.Charges))
		c.logLimited(now, l, &state)
	}
	for _, name := range before.Sorted() {
		if !l.measured.Has(name) {
			delete(l.limitedAt, name)
			c.Metrics.QuotaCaps.DeleteLabelValues(string(name))
			c.Metrics.QuotaCharges.DeleteLabelValues(string(name))
		}
	}
}

// clearQuotaMetrics removes the caps from the metrics of a process that leads no more.
func (c *Control) clearQuotaMetrics(l *leaderState) {
	l.measured = ctset.Set[ctid.Workspace]{}
	c.Metrics.QuotaCaps.Reset()
	c.Metrics.QuotaCharges.Reset()
}

// logLimited logs when a workspace starts and stops to ask for more than its limit.
func (c *Control) logLimited(now time.Time, l *leaderState, state *ctquota.State) {
	limitedAt, logged := l.limitedAt[state.Workspace]
	decision := "limit_workspace"
	switch {
	case state.Full:
		l.limitedAt[state.Workspace] = now
		if logged {
			return
		}
	case logged && now.Sub(limitedAt) >= limitedLogDelay:
		delete(l.limitedAt, state.Workspace)
		decision = "stop_limiting_workspace"
	default:
		return
	}
	ctlog.Decision(&c.Logger, decision).Str("workspace", string(state.Workspace)).
		Int64("asked", int64(state.Asked)).Int64("ceiling", int64(state.Ceiling)).
		Int64("caps", int64(state.Caps)).Int64("charges", int64(state.Charges)).
		Int("holders", state.Holders).Str("why", "demand_in_window").Send()
}
