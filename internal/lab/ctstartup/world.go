package ctstartup

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// event is a function that runs at a time of the simulation.
type event struct {
	at time.Duration
	// number orders events of the same time as they were added.
	number int
	run    func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].number < q[j].number)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) {
	if added, ok := x.(event); ok {
		*q = append(*q, added)
	}
}

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// world is the state of a run.
type world struct {
	plan     Plan
	sizes    sizes
	now      time.Duration
	events   eventQueue
	added    int
	random   *rand.Rand
	controls []*control
	proxies  []*proxy
	// leader is the leading control process, or nil while there is none. epoch counts the
	// leaders.
	leader *control
	epoch  int
}

// after runs a function after a delay.
func (w *world) after(delay time.Duration, run func()) {
	w.added++
	heap.Push(&w.events, event{at: w.now + max(delay, 0), number: w.added, run: run})
}

// runUntil runs the events before a time.
func (w *world) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at < end {
		next := w.events[0]
		heap.Pop(&w.events)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// timestamp returns the present for decisions that take a time.
func (w *world) timestamp() time.Time {
	return time.Unix(0, 0).Add(w.now)
}

// uniform returns a random duration below a limit.
func (w *world) uniform(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit)))
}

// latency returns the one-way latency between two places. Places with the same remainder by
// regionCount are in one region.
func latency(a, b int) time.Duration {
	if a%regionCount == b%regionCount {
		return nearLatency
	}
	return farLatency
}

const (
	regionCount = 3
	nearLatency = 2 * time.Millisecond
	farLatency  = 20 * time.Millisecond
)
