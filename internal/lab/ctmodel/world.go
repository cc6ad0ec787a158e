package ctmodel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// groupName is the name of the only group.
const groupName ctid.Group = "g"

// party is the name of something that sends or receives messages.
type party string

// serviceParty is the external service that promotes members.
const serviceParty party = "service"

// link is an unordered pair of parties.
type link struct {
	a, b party
}

func newLink(a, b party) link {
	if a > b {
		a, b = b, a
	}
	return link{a: a, b: b}
}

// world is the state of a run.
type world struct {
	plan   Plan
	random *rand.Rand
	// start is the time at which the run began.
	start, now time.Time
	queue      eventQueue
	sequence   uint64
	// cuts counts the faults that cut a link now.
	cuts map[link]int
	// severed is the process that is cut off from the service for good, or nil.
	severed *control

	members  []*member
	proxies  []*proxy
	controls []*control
	election election
	register ctregister.Register
	group    groupState
	requests requestJudge
	reader   reader
	losses   losses
	// acknowledgedAt is when the last commit was acknowledged.
	acknowledgedAt time.Time
	report         Report
}

// groupState is what is true of the group, whatever control knows.
type groupState struct {
	// latest is the member that was promoted last, and term its term. promotedLog is its
	// log at that time.
	latest      *member
	term        ctposition.Term
	promotedLog []entry
	// acknowledged are the entries of the acknowledged commits.
	acknowledged []entry
}

// Run simulates a plan.
func Run(plan Plan) Report {
	w := newWorld(plan)
	w.schedule(0, w.tick)
	w.schedule(settleTime, w.nextFault)
	w.scheduleLosses()
	end := w.start.Add(plan.Faults + plan.Recovery)
	for len(w.queue) > 0 {
		next, ok := heap.Pop(&w.queue).(event)
		if !ok || next.at.After(end) {
			break
		}
		w.now = next.at
		next.run()
	}
	w.checkLive()
	return w.report
}

// newWorld returns a group whose first member is the primary.
func newWorld(plan Plan) *world {
	start := time.Unix(0, 0).Add(time.Hour)
	w := &world{
		plan: plan, random: rand.New(rand.NewPCG(plan.Seed, 0)), start: start, now: start, cuts: make(map[link]int),
		reader: newReader(plan),
	}
	w.register.Apply(ctregister.Configure{Change: ctconfig.Change{ID: "first", Document: ctconfig.Document{
		Groups: []ctconfig.Group{{Name: groupName, Promotion: ctconfig.PromotionExternal}},
	}}})
	for _, name := range []ctid.Member{"a", "b", "c"} {
		w.members = append(w.members, &member{name: name, running: true, term: 1, incarnation: 1})
	}
	w.members[0].primary = true
	w.group.latest, w.group.term = w.members[0], 1
	for _, name := range []ctid.Proxy{"p1", "p2", "p3"} {
		w.proxies = append(w.proxies, newProxy(name))
	}
	for _, name := range []ctid.Control{"c1", "c2", "c3"} {
		w.controls = append(w.controls, &control{name: name, running: true, incarnation: 1})
	}
	return w
}

// event is a function that is called at a time.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventQueue implements heap.Interface. The earliest event comes first.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}

// Push appends an event.
func (q *eventQueue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop removes the last event.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// schedule calls run after a delay.
func (w *world) schedule(delay time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, event{at: w.now.Add(delay), sequence: w.sequence, run: run})
}

// tickInterval is the interval of what happens all the time.
const tickInterval = 20 * time.Millisecond

// tick lets all parties do what is due.
func (w *world) tick() {
	w.replicate()
	w.elect()
	for _, c := range w.controls {
		w.tickControl(c)
	}
	for _, p := range w.proxies {
		w.tickProxy(p)
	}
	for _, m := range w.members {
		w.tickMember(m)
	}
	w.schedule(tickInterval, w.tick)
}

// reachable reports whether messages pass between two parties.
func (w *world) reachable(a, b party) bool {
	return w.cuts[newLink(a, b)] == 0
}

// between returns a random duration.
func (w *world) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(w.random.Int64N(int64(longest-shortest)+1))
}

// latency returns the time that a message takes. Few take long.
func (w *world) latency() time.Duration {
	if w.chance(0.02) {
		return w.between(100*time.Millisecond, 900*time.Millisecond)
	}
	return w.between(time.Millisecond, 15*time.Millisecond)
}

// chance returns true with a probability.
func (w *world) chance(probability float64) bool {
	return w.random.Float64() < probability
}

// trace records an event of the run.
func (w *world) trace(format string, args ...any) {
	at := fmt.Sprintf("%8.3f ", w.now.Sub(w.start).Seconds())
	w.report.Trace = append(w.report.Trace, at+fmt.Sprintf(format, args...))
}

// violate records a violation, unless the rule was violated before.
func (w *world) violate(rule Rule, format string, args ...any) {
	if slices.ContainsFunc(w.report.Violations, func(v Violation) bool { return v.Rule == rule }) {
		return
	}
	v := Violation{Rule: rule, At: w.now.Sub(w.start), Detail: fmt.Sprintf(format, args...)}
	w.trace("VIOLATION %s", v)
	w.report.Violations = append(w.report.Violations, v)
}

// apply applies a command to the register, as the replicated log does.
func (w *world) apply(command ctregister.Command) {
	result := w.register.Apply(command)
	w.traceCommand(command, result)
}

// decided returns what is durable about the group.
func (w *world) decided() ctview.Group {
	group := w.register.Groups[groupName]
	group.Name = groupName
	return group
}
