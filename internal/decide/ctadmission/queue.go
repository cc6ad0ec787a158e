package ctadmission

import (
	"cmp"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

const (
	// drainSmoothing is the weight of one interval in the mean interval between starts, and
	// maxInterval the longest that counts, so that a stall is forgotten soon.
	drainSmoothing = 0.125
	maxInterval    = 200 * time.Millisecond
	// minIntervals is how many intervals must be known before a wait is estimated.
	minIntervals = 4
)

// Ticket identifies a request that waits.
type Ticket uint64

// Priority orders the requests that wait for a connection. Lower values are more urgent, and
// that of the route comes first.
type Priority struct {
	Route     int
	Workspace int
}

// Compare compares the urgency of two priorities. The more urgent one is less.
func (p Priority) Compare(other Priority) int {
	return cmp.Or(cmp.Compare(p.Route, other.Route), cmp.Compare(p.Workspace, other.Workspace))
}

// Request is a request that waits to be sent to a member.
type Request struct {
	// Ticket is set by Queue.Add.
	Ticket   Ticket
	Priority Priority
	// Workspace is the one whose caller sent it. AnyWorkspace is set for status queries of the
	// system's own, which may use the connection of any workspace.
	Workspace    ctid.Workspace
	AnyWorkspace bool
	// AddedAt is when the request began to wait, and Deadline when it must have started.
	AddedAt  time.Time
	Deadline time.Time
}

// Queue holds the requests that wait for one member. Its zero value is empty. It must not be
// used concurrently.
type Queue struct {
	// waiting is ordered by priority, deadline and arrival.
	waiting    []Request
	lastTicket Ticket
	// virtualTime is the start tag of the request that started last, and finishTags are the
	// virtual times at which the last request of each workspace has had its share.
	virtualTime int
	finishTags  map[ctid.Workspace]int
	// startedAt is when the last request started; zero if none waited since. interval is the
	// mean time between two starts since requests wait, and intervals counts these times.
	startedAt time.Time
	interval  time.Duration
	intervals int
}

// Len returns how many requests wait.
func (q *Queue) Len() int {
	return len(q.waiting)
}

// Add adds a request and returns its ticket.
func (q *Queue) Add(r Request) Ticket {
	q.lastTicket++
	r.Ticket = q.lastTicket
	i := len(q.waiting)
	for i > 0 && r.before(&q.waiting[i-1]) {
		i--
	}
	q.waiting = slices.Insert(q.waiting, i, r)
	return r.Ticket
}

// before reports whether a request is ahead of one that was added earlier. Workspaces don't count
// here: next chooses between them within a priority.
func (r *Request) before(earlier *Request) bool {
	return cmp.Or(r.Priority.Compare(earlier.Priority), r.Deadline.Compare(earlier.Deadline)) < 0
}

// Remove removes a request that waits no longer.
func (q *Queue) Remove(ticket Ticket) {
	q.waiting = slices.DeleteFunc(q.waiting, func(r Request) bool { return r.Ticket == ticket })
	q.resetIfEmpty()
}

// Clear removes all requests and returns them.
func (q *Queue) Clear() []Request {
	removed := q.waiting
	q.waiting = nil
	q.resetIfEmpty()
	return removed
}

// Peek returns the request that is next among those for which fits returns true.
func (q *Queue) Peek(now time.Time, fits func(*Request) bool) (Request, bool) {
	i := q.next(now, fits)
	if i < 0 {
		return Request{}, false
	}
	return q.waiting[i], true
}

// Next removes and returns the request that is next among those for which fits returns true.
func (q *Queue) Next(now time.Time, fits func(*Request) bool) (Request, bool) {
	i := q.next(now, fits)
	if i < 0 {
		return Request{}, false
	}
	r := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.recordStart(now, r.Workspace)
	return r, true
}

// next returns the index of the next request for which fits returns true, or -1. Requests whose
// deadline has passed are passed over.
func (q *Queue) next(now time.Time, fits func(*Request) bool) int {
	best := -1
	for i := range q.waiting {
		r := &q.waiting[i]
		if best >= 0 && r.Priority.Compare(q.waiting[best].Priority) > 0 {
			break
		}
		if !now.Before(r.Deadline) || !fits(r) {
			continue
		}
		if best < 0 || q.startTag(r.Workspace) < q.startTag(q.waiting[best].Workspace) {
			best = i
		}
	}
	return best
}

// startTag returns the virtual time at which the next request of a workspace may start.
func (q *Queue) startTag(workspace ctid.Workspace) int {
	return max(q.virtualTime, q.finishTags[workspace])
}

// recordStart charges a start to its workspace and measures the time since the last one.
func (q *Queue) recordStart(now time.Time, workspace ctid.Workspace) {
	if q.finishTags == nil {
		q.finishTags = make(map[ctid.Workspace]int)
	}
	q.virtualTime = q.startTag(workspace)
	q.finishTags[workspace] = q.virtualTime + 1
	if !q.startedAt.IsZero() {
		interval := min(now.Sub(q.startedAt), maxInterval)
		if q.intervals == 0 {
			q.interval = interval
		}
		q.interval += time.Duration(float64(interval-q.interval) * drainSmoothing)
		q.intervals++
	}
	q.startedAt = now
	q.resetIfEmpty()
}

// resetIfEmpty forgets what counts only while requests wait.
func (q *Queue) resetIfEmpty() {
	if len(q.waiting) == 0 {
		q.startedAt, q.interval, q.intervals = time.Time{}, 0, 0
		q.virtualTime = 0
		clear(q.finishTags)
	}
}

// ExpectedWait returns how long a request that arrives now would wait, or 0 if that is not known.
func (q *Queue) ExpectedWait(now time.Time, r Request) time.Duration {
	if q.intervals < minIntervals {
		return 0
	}
	return time.Duration(q.countAhead(now, &r)) * q.interval
}

// countAhead returns how many of the waiting requests start before one that arrives now. Of other
// workspaces with the same priority, as many do as of its own, and one more.
func (q *Queue) countAhead(now time.Time, r *Request) int {
	ahead := 0
	same := make(map[ctid.Workspace]int)
	for i := range q.waiting {
		switch c := q.waiting[i].Priority.Compare(r.Priority); {
		case !now.Before(q.waiting[i].Deadline):
		case c < 0:
			ahead++
		case c == 0:
			same[q.waiting[i].Workspace]++
		}
	}
	own := same[r.Workspace]
	for workspace, count := range same {
		if workspace != r.Workspace {
			count = min(count, own+1)
		}
		ahead += count
	}
	return ahead
}
