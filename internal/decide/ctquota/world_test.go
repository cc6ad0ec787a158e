package ctquota_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquota"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
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
