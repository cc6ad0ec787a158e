package ctquota_test

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquota"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctdrift"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// holder is one run of a proxy.
type holder struct {
	name        ctid.Proxy
	incarnation ctid.Incarnation
	clock       clock
	shares      []*ctquota.Share
	run         *run
	queued      []queued
	// waiting holds, for each workspace, the times until which operations wait for a cap.
	waiting [][]time.Duration
	// cut holders lose all messages, and paused ones do nothing.
	cutUntil, pausedUntil time.Duration
	number                uint64
	nextReport            time.Duration
	awaiting              uint64
	sentAt                time.Duration
	reported              []ctview.QuotaDemand
	// parts are the holder's parts of the demand for each workspace.
	parts []float64
}

// run holds when the operations of the largest workspace started that one run of a holder has
// counted within the last window.
type run struct {
	holder  *holder
	shares  []*ctquota.Share
	started []time.Duration
}

// queued is an admitted operation that waits for a connection.
type queued struct {
	workspace int
	at        time.Duration
}

// restart begins a new run of a holder, which has no caps.
func (w *world) restart(h *holder) {
	h.incarnation++
	h.clock = w.newClock()
	h.shares, h.queued, h.awaiting, h.number = nil, nil, 0, 0
	h.waiting = make([][]time.Duration, len(w.limits))
	for range w.limits {
		h.shares = append(h.shares, &ctquota.Share{Bounds: w.bounds})
	}
	h.run = &run{holder: h, shares: h.shares}
	w.runs = append(w.runs, h.run)
}

// renew applies a reply.
func (w *world) renew(h *holder, grant *ctview.QuotaGrant) {
	h.awaiting = 0
	ttl := ctdrift.LowerBound(time.Duration(grant.TTL))
	renewed := make(map[ctid.Workspace]ctview.QuotaCap)
	for _, d := range h.reported {
		renewed[d.Workspace] = ctview.QuotaCap{Workspace: d.Workspace, Cap: d.Cap}
	}
	for _, c := range grant.Caps {
		renewed[c.Workspace] = c
	}
	for i := range h.shares {
		if c, ok := renewed[workspaceName(i)]; ok {
			h.shares[i].Renew(c.Cap, c.Limited, h.clock.read(h.sentAt).Add(ttl))
		}
	}
}

// report sends a report if it is time for one and none awaits its reply.
func (w *world) report(i int, h *holder) {
	if w.now < h.nextReport || (h.awaiting != 0 && w.now < h.sentAt+callTimeout) {
		return
	}
	h.number++
	h.awaiting, h.sentAt, h.nextReport = h.number, w.now, w.now+reportInterval
	h.reported = nil
	now := h.clock.read(w.now)
	for j, s := range h.shares {
		if h.parts[j] == 0 {
			continue
		}
		d := s.Report(now, ctid.Operations(len(h.waiting[j])))
		h.reported = append(h.reported, ctview.QuotaDemand{
			Workspace: workspaceName(j), Cap: d.Cap, Started: d.Started, Refused: d.Refused,
		})
	}
	w.arrivals = append(w.arrivals, arrival{
		at: w.now + w.delay(), holder: i, incarnation: h.incarnation, number: h.number,
		report: &ctquota.Report{
			Holder: ctquota.Holder{Proxy: h.name, Incarnation: h.incarnation}, Number: h.number,
			Demands: h.reported, Renewable: true,
		},
	})
}

// operate starts the operations of one step.
func (w *world) operate(h *holder) {
	now := h.clock.read(w.now)
	for _, q := range h.queued {
		if q.at <= w.now && h.shares[q.workspace].Start(now) {
			w.starts[q.workspace] = append(w.starts[q.workspace], w.now)
			if q.workspace == 0 {
				h.run.started = append(h.run.started, w.now)
			}
			w.outcomes.admitted++
		}
	}
	kept := h.queued[:0]
	for _, q := range h.queued {
		if q.at > w.now {
			kept = append(kept, q)
		}
	}
	h.queued = kept
	for i := range h.shares {
		for range w.draw(w.usual[i] * h.parts[i] * w.step.Seconds()) {
			h.waiting[i] = append(h.waiting[i], w.now+maxWait)
		}
		w.admit(h, i, now)
	}
}

// admit decides on the operations of a workspace that are new or wait for a cap.
func (w *world) admit(h *holder, workspace int, now time.Time) {
	undecided := h.waiting[workspace][:0]
	for _, until := range h.waiting[workspace] {
		switch h.shares[workspace].Admit(now).(type) {
		case ctquota.Admitted:
			h.queued = append(h.queued, queued{workspace: workspace, at: w.now + w.queueing()})
		case ctquota.Rejected:
			w.outcomes.rejected++
		case ctquota.Undecided:
			if w.now >= until {
				w.outcomes.expired++
				continue
			}
			undecided = append(undecided, until)
			h.nextReport = min(h.nextReport, h.sentAt+triggerInterval)
		}
	}
	h.waiting[workspace] = undecided
}

// queueing returns how long an operation waits for a connection.
func (w *world) queueing() time.Duration {
	if w.random.IntN(4) > 0 {
		return w.step
	}
	return time.Duration(w.random.Int64N(int64(maxQueueing)))
}

// draw returns a random number of operations with the given mean.
func (w *world) draw(mean float64) int {
	count := int(mean)
	if w.random.Float64() < mean-float64(count) {
		count++
	}
	return count
}
