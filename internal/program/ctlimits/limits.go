package ctlimits

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquota"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctuplink"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

const (
	// minAskInterval is the least time between two reports that ask for caps, so that
	// changing demand does not multiply the reports.
	minAskInterval = 200 * time.Millisecond
	// retentionTime is how long after its last operation a workspace that this proxy does
	// not own stays in reports.
	retentionTime = 10 * time.Second
)

// The results of operations in the metrics.
const (
	resultAdmitted = "admitted"
	resultRejected = "rejected"
	resultExpired  = "expired"
)

// OwnedSource knows the workspaces whose operations this proxy starts.
type OwnedSource interface {
	OwnedWorkspaces() []ctid.Workspace
}

// Options are the dependencies and settings of Limits.
type Options struct {
	Bounds  ctquota.Bounds
	Owned   OwnedSource
	Clock   ctclock.Clock
	Logger  zerolog.Logger
	Metrics *ctmetric.Metrics
	// TriggerReport makes the next report to control go out at once.
	TriggerReport func()
}

// Limits enforces the rate limits of workspaces at a proxy. Its methods may be called
// concurrently.
type Limits struct {
	Options

	state cttable.Cell[state]
}

var (
	_ ctpools.Quotas          = (*Limits)(nil)
	_ ctuplink.QuotaSource    = (*Limits)(nil)
	_ ctuplink.ViewSubscriber = (*Limits)(nil)
)

// state is what a proxy knows of workspaces with rate limits.
type state struct {
	revision ctid.Revision
	limited  ctset.Set[ctid.Workspace]
	owned    []ctid.Workspace
	entries  map[ctid.Workspace]*entry
	// renewed is closed when caps are renewed.
	renewed    chan struct{}
	reportedAt time.Time
}

// entry is what a proxy knows of one workspace.
type entry struct {
	share ctquota.Share
	// waiting counts the operations that wait for a cap. asked reports whether control was
	// told of waiting operations since there are some.
	waiting ctid.Operations
	asked   bool
	usedAt  time.Time
	// loggedCap is the cap in the last log line.
	loggedCap ctid.Operations
}

// New returns limits that admit everything until a configuration declares limits.
func New(options Options) *Limits {
	l := &Limits{Options: options, state: cttable.Cell[state]{Rank: ctlock.RankQuotas}}
	var held ctlock.Held
	l.state.With(&held, func(s *state) {
		s.entries = make(map[ctid.Workspace]*entry)
		s.renewed = make(chan struct{})
	})
	return l
}

// ApplyView applies a view's configuration. If this proxy has become an owner of workspaces
// with limits, it asks for caps at once, so that their first operations find some.
func (l *Limits) ApplyView(held *ctlock.Held, view *ctview.View) {
	owned := l.Owned.OwnedWorkspaces()
	ask := false
	l.state.With(held, func(s *state) {
		if s.revision != view.Config.Revision {
			s.revision = view.Config.Revision
			s.limited = ctset.Set[ctid.Workspace]{}
			for _, w := range view.Config.Document.Workspaces {
				if w.Limit != nil {
					s.limited.Add(w.Name)
				}
			}
		}
		s.owned = owned
		for _, name := range owned {
			ask = ask || s.limited.Has(name) && s.entries[name] == nil
		}
	})
	if ask {
		l.TriggerReport()
	}
}

// Admit implements ctpools.Quotas.
func (l *Limits) Admit(held *ctlock.Held, workspace ctid.Workspace, deadline time.Time) error {
	for waited := false; ; {
		d := l.decide(held, workspace, deadline, waited)
		switch v := d.verdict.(type) {
		case ctquota.Admitted:
			return nil
		case ctquota.Rejected:
			return ctpools.ErrRateLimited()
		case ctquota.Undecided:
			if d.expired {
				return noCapError()
			}
			l.await(d.now, deadline, v.RetryAt, d.renewed)
			waited = true
		}
	}
}

// decision is a verdict on an operation at a time.
type decision struct {
	verdict ctquota.Verdict
	now     time.Time
	// expired reports whether an undecided operation has waited until its deadline.
	expired bool
	renewed <-chan struct{}
}

// decide decides on an operation that waits if waited is set. It asks for a cap if the
// operation must wait and control does not know that yet.
func (l *Limits) decide(held *ctlock.Held, workspace ctid.Workspace, deadline time.Time, waited bool) decision {
	d := decision{verdict: ctquota.Admitted{}, now: l.Clock.Now()}
	ask := false
	l.state.With(held, func(s *state) {
		if !s.limited.Has(workspace) {
			l.stopWaiting(s.entries[workspace], waited)
			return
		}
		e := l.entryOf(s, workspace)
		e.usedAt = d.now
		d.verdict = e.share.Admit(d.now)
		result := resultAdmitted
		switch d.verdict.(type) {
		case ctquota.Rejected:
			result = resultRejected
		case ctquota.Undecided:
			result = resultExpired
			if d.expired = !d.now.Before(deadline); d.expired {
				e.share.CountRefused()
				break
			}
			d.renewed = s.renewed
			if !waited {
				e.waiting++
				l.Metrics.QuotaWaiting.Inc()
			}
			ask = s.mustAsk(e, d.now)
			return
		}
		l.stopWaiting(e, waited)
		l.Metrics.QuotaOperations.WithLabelValues(string(workspace), result).Inc()
	})
	if ask {
		l.TriggerReport()
	}
	return d
}

// mustAsk reports whether to send a report early because an operation of a workspace waits.
func (s *state) mustAsk(e *entry, now time.Time) bool {
	if e.asked || now.Sub(s.reportedAt) < minAskInterval {
		return false
	}
	e.asked = true
	return true
}

// stopWaiting ends the wait of an operation. The entry may be nil.
func (l *Limits) stopWaiting(e *entry, waited bool) {
	if !waited {
		return
	}
	l.Metrics.QuotaWaiting.Dec()
	if e == nil {
		return
	}
	if e.waiting--; e.waiting <= 0 {
		e.waiting, e.asked = 0, false
	}
}

// await waits until a cap may allow another operation: until caps are renewed, an operation
// leaves the window at retryAt, or the next report may be sent early, but not past deadline.
func (l *Limits) await(now, deadline, retryAt time.Time, renewed <-chan struct{}) {
	wait := min(deadline.Sub(now), minAskInterval)
	if !retryAt.IsZero() {
		wait = min(wait, max(0, retryAt.Sub(now))+time.Millisecond)
	}
	select {
	case <-renewed:
	case <-l.Clock.After(wait):
	}
}

// Start implements ctpools.Quotas.
func (l *Limits) Start(held *ctlock.Held, workspace ctid.Workspace) (time.Time, error) {
	now := l.Clock.Now()
	var err error
	l.state.With(held, func(s *state) {
		e, ok := s.entries[workspace]
		switch {
		case !s.limited.Has(workspace):
		case !ok:
			err = noCapError()
		case e.share.Start(now):
		case e.share.Limited():
			err = ctpools.ErrRateLimited()
		default:
			err = noCapError()
		}
	})
	return now, err
}

// Cancel implements ctpools.Quotas.
func (l *Limits) Cancel(held *ctlock.Held, workspace ctid.Workspace) {
	l.state.With(held, func(s *state) {
		if e, ok := s.entries[workspace]; ok {
			e.share.Cancel()
		}
	})
}

// Refund implements ctpools.Quotas.
func (l *Limits) Refund(held *ctlock.Held, workspace ctid.Workspace, startedAt time.Time) {
	l.state.With(held, func(s *state) {
		if e, ok := s.entries[workspace]; ok {
			e.share.Refund(startedAt)
		}
	})
}

// entryOf returns the entry of a workspace and adds it if it is missing.
func (l *Limits) entryOf(s *state, workspace ctid.Workspace) *entry {
	e, ok := s.entries[workspace]
	if !ok {
		e = &entry{share: ctquota.Share{Bounds: l.Bounds}}
		s.entries[workspace] = e
	}
	return e
}

func noCapError() error {
	return cterror.New(cterror.Exhausted, "no part of the workspace's rate limit was granted in time", "try again soon")
}
