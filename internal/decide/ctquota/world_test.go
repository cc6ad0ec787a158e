package ctquota_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquota"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctdrift"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Times of the model. applyTime is how long after its acceptance a configuration must be in
// force everywhere.
const (
	reportInterval = 400 * time.Millisecond
	callTimeout    = 700 * time.Millisecond
	maxDelay       = 300 * time.Millisecond
	maxQueueing    = 800 * time.Millisecond
	// maxWait is how long an operation waits for a cap, and triggerInterval the least time
	// between two reports that ask for one.
	maxWait         = time.Second
	triggerInterval = 200 * time.Millisecond
	applyTime       = 5 * time.Second
)

// world is a model of holders, a leader and a network with faults. All times are true times;
// holders and leaders read clocks of their own.
type world struct {
	bounds  ctquota.Bounds
	random  *rand.Rand
	step    time.Duration
	now     time.Duration
	holders []*holder
	limits  []ctconfig.Workspace
	// usual is the demand of each workspace in operations per second, over all holders.
	usual []float64

	ledger      *ctquota.Ledger
	leaderClock clock

	arrivals []arrival
	starts   [][]time.Duration
	// runs are all runs of holders, and potentials how many operations of the largest
	// workspace would count at each step if all holders used their caps.
	runs       []*run
	potentials []ctid.Operations
	// ceilings says from when on each workspace has each ceiling.
	ceilings [][]ceiling
	outcomes outcomes
	// marks are durable, and proposals are not yet.
	marks     map[ctid.Workspace]ctid.Operations
	proposals []proposal
}

// clock is a process's clock: it runs at a rate of its own from a time of its own.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) read(now time.Duration) time.Time {
	return time.Unix(0, 0).Add(c.offset + time.Duration(float64(now)*c.rate))
}

type ceiling struct {
	from, until time.Duration
	operations  ctid.Operations
}

type outcomes struct {
	admitted, rejected, expired, reports, caps int
	// proposals counts the entries of the replicated log.
	proposals int
}

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

// arrival is a message that is under way.
type arrival struct {
	at          time.Duration
	holder      int
	incarnation ctid.Incarnation
	report      *ctquota.Report
	grant       *ctview.QuotaGrant
	number      uint64
}

func newWorld(seed uint64, count int, bounds ctquota.Bounds, limits []ctconfig.RateLimit, usual []float64) *world {
	w := &world{
		bounds: bounds, random: rand.New(rand.NewPCG(seed, 1)), step: 20 * time.Millisecond, usual: usual,
		starts: make([][]time.Duration, len(limits)), ceilings: make([][]ceiling, len(limits)),
	}
	for i, limit := range limits {
		w.limits = append(w.limits, ctconfig.Workspace{Name: workspaceName(i), Limit: &limit})
		w.ceilings[i] = []ceiling{{until: math.MaxInt64, operations: bounds.Ceiling(limit)}}
	}
	for i := range count {
		h := &holder{
			name: ctid.Proxy(fmt.Sprintf("p%d", i)), parts: make([]float64, len(limits)),
			nextReport: time.Duration(w.random.Int64N(int64(reportInterval))),
		}
		w.restart(h)
		w.holders = append(w.holders, h)
	}
	for i := range limits {
		w.spread(i)
	}
	w.changeLeader()
	return w
}

// spread divides the demand for a workspace unevenly over holders. The largest workspace
// has all holders, and each other one a few.
func (w *world) spread(workspace int) {
	total := 0.0
	for i, h := range w.holders {
		if workspace == 0 || (i+workspace)%max(1, len(w.holders)/8) == 0 {
			h.parts[workspace] = math.Pow(float64(i+1), -0.7)
			total += h.parts[workspace]
		}
	}
	for _, h := range w.holders {
		h.parts[workspace] /= total
	}
}

func workspaceName(i int) ctid.Workspace {
	return ctid.Workspace(fmt.Sprintf("w%d", i))
}

func (w *world) newClock() clock {
	return clock{
		offset: time.Duration(w.random.Int64N(int64(time.Hour))) + time.Hour, rate: 1 + 0.008*(w.random.Float64()-0.5),
	}
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

// changeLeader makes another process the leader, with an empty ledger.
func (w *world) changeLeader() {
	for _, proposed := range w.proposals {
		// The successor may find what the former leader has not seen committed.
		if w.random.IntN(2) == 0 {
			w.commit(proposed.marks)
		}
	}
	w.proposals = nil
	w.leaderClock = w.newClock()
	w.ledger = ctquota.NewLedger(w.bounds, w.leaderClock.read(w.now), w.marks)
	w.ledger.SetLimits(w.limits)
}

// proposal is a change of marks that is not committed yet.
type proposal struct {
	at    time.Duration
	marks map[ctid.Workspace]ctid.Operations
}

// commit makes marks durable.
func (w *world) commit(marks map[ctid.Workspace]ctid.Operations) {
	w.marks = maps.Clone(w.marks)
	if w.marks == nil {
		w.marks = make(map[ctid.Workspace]ctid.Operations)
	}
	maps.Copy(w.marks, marks)
}

// updateMarks commits the marks that are due, and proposes those that the ledger wants.
func (w *world) updateMarks() {
	for len(w.proposals) > 0 && w.proposals[0].at <= w.now {
		w.commit(w.proposals[0].marks)
		w.proposals = w.proposals[1:]
		w.ledger.SetMarks(w.marks)
	}
	if marks := w.ledger.WantedMarks(w.leaderClock.read(w.now)); len(marks) > 0 {
		w.proposals = append(w.proposals, proposal{at: w.now + maxDelay, marks: marks})
		w.outcomes.proposals++
	}
}

// setLimit puts a new limit into force. A lower one counts after the time within which it
// must be in force everywhere.
func (w *world) setLimit(i int, limit ctconfig.RateLimit) {
	before := w.bounds.Ceiling(*w.limits[i].Limit)
	after := w.bounds.Ceiling(limit)
	until := w.now
	if after < before {
		until += applyTime
	}
	last := len(w.ceilings[i]) - 1
	w.ceilings[i][last].until = until
	w.ceilings[i] = append(w.ceilings[i], ceiling{from: w.now, until: math.MaxInt64, operations: after})
	w.limits[i].Limit = &limit
	w.ledger.SetLimits(w.limits)
}

// concentrate moves all demand for the largest workspace to some holders.
func (w *world) concentrate(on ...int) {
	for _, h := range w.holders {
		h.parts[0] = 1e-6
	}
	for _, i := range on {
		w.holders[i].parts[0] = 1 / float64(len(on))
	}
}

// run advances the model.
func (w *world) run(duration time.Duration) {
	for end := w.now + duration; w.now < end; w.now += w.step {
		w.deliver()
		for i, h := range w.holders {
			if w.now < h.pausedUntil {
				continue
			}
			w.report(i, h)
			w.operate(h)
		}
		w.ledger.Expire(w.leaderClock.read(w.now))
		w.updateMarks()
		w.recordPotential()
	}
}

// recordPotential records how many operations of the largest workspace would count now if
// all holders used their caps.
func (w *world) recordPotential() {
	sum := ctid.Operations(0)
	for _, r := range w.runs {
		for len(r.started) > 0 && r.started[0] <= w.now-w.bounds.WindowOrDefault() {
			r.started = r.started[1:]
		}
		usable := ctid.Operations(0)
		if r.holder.run == r {
			usable = r.shares[0].Cap(r.holder.clock.read(w.now))
		}
		sum += max(usable, ctid.Operations(len(r.started)))
	}
	w.potentials = append(w.potentials, sum)
}

// deliver delivers the messages that are due.
func (w *world) deliver() {
	due := w.arrivals
	w.arrivals = nil
	for _, a := range due {
		h := w.holders[a.holder]
		switch {
		case a.at > w.now || (w.now < h.pausedUntil && a.report == nil):
			w.arrivals = append(w.arrivals, a)
		case w.now < h.cutUntil:
		case a.report != nil:
			grant := w.ledger.Apply(w.leaderClock.read(w.now), a.report)
			w.outcomes.reports++
			if grant != nil {
				w.outcomes.caps += len(grant.Caps)
			}
			w.arrivals = append(w.arrivals, arrival{
				at: w.now + w.delay(), holder: a.holder, incarnation: a.incarnation, grant: grant, number: a.number,
			})
		case a.incarnation == h.incarnation && a.number == h.awaiting && a.grant != nil:
			w.renew(h, a.grant)
		}
	}
}

func (w *world) delay() time.Duration {
	return time.Duration(w.random.Int64N(int64(maxDelay)))
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

// assertWithinCeilings checks that no window of any workspace has more operations than the
// highest ceiling that counts in it.
func assertWithinCeilings(t assert.TestingT, w *world) {
	window := w.bounds.WindowOrDefault()
	for i, starts := range w.starts {
		first := 0
		for last, at := range starts {
			for starts[first] <= at-window {
				first++
			}
			allowed := w.allowed(i, at)
			count := ctid.Operations(last - first + 1)
			assert.Assert(t, count <= allowed, "%s: %d operations in the window before %s, %d allowed",
				workspaceName(i), count, at, allowed)
		}
	}
}

// assertCapsWithinCeilings checks that the largest workspace would have stayed within its
// ceiling if all holders had used their caps at any moment.
func assertCapsWithinCeilings(t assert.TestingT, w *world) {
	for i, sum := range w.potentials {
		at := time.Duration(i) * w.step
		allowed := w.allowed(0, at)
		assert.Assert(t, sum <= allowed, "caps of %d in the window before %s, %d allowed", sum, at, allowed)
	}
}

// allowed returns the highest ceiling of a workspace that counts in the window before a time.
func (w *world) allowed(workspace int, at time.Duration) ctid.Operations {
	allowed := ctid.Operations(0)
	for _, c := range w.ceilings[workspace] {
		if c.from <= at && c.until > at-w.bounds.WindowOrDefault() {
			allowed = max(allowed, c.operations)
		}
	}
	return allowed
}

// assertServed checks that at least a part of a workspace's demand was started since a time.
func assertServed(t *testing.T, w *world, workspace int, since time.Duration, part float64) {
	t.Helper()
	count := 0
	for _, at := range w.starts[workspace] {
		if at >= since {
			count++
		}
	}
	wanted := w.usual[workspace] * (w.now - since).Seconds() * part
	assert.Assert(t, float64(count) >= wanted, "%s: %d operations started of %.0f", workspaceName(workspace), count,
		wanted)
}
