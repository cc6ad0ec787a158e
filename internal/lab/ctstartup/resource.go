package ctstartup

import (
	"container/heap"
	"time"
)

// resource is a processor or a link. The jobs under way share it evenly.
type resource struct {
	world *world
	// rate is what all jobs together get in a second.
	rate float64
	jobs jobQueue
	// share is how much each job under way since the start would have got by updated.
	share   float64
	updated time.Duration
	// scheduled counts the completions that were scheduled; only the last one counts.
	scheduled int
}

// job is a use of a resource. It is complete when the resource's share has reached end.
type job struct {
	end   float64
	index int
	done  func()
}

// jobQueue is a heap of jobs, the one that completes next first.
type jobQueue []*job

func (q jobQueue) Len() int           { return len(q) }
func (q jobQueue) Less(i, j int) bool { return q[i].end < q[j].end }
func (q jobQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *jobQueue) Push(x any) {
	if added, ok := x.(*job); ok {
		added.index = len(*q)
		*q = append(*q, added)
	}
}

func (q *jobQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	last.index = -1
	return last
}

// use begins a job of an amount and calls done when it is complete.
func (r *resource) use(amount float64, done func()) *job {
	r.advance()
	added := &job{end: r.share + amount, done: done}
	heap.Push(&r.jobs, added)
	r.schedule()
	return added
}

// cancel ends a job without a call of done. It does nothing if the job is complete.
func (r *resource) cancel(j *job) {
	if j == nil || j.index < 0 {
		return
	}
	r.advance()
	heap.Remove(&r.jobs, j.index)
	j.index = -1
	r.schedule()
}

// advance computes the share at the present.
func (r *resource) advance() {
	if len(r.jobs) > 0 {
		r.share += r.rate * (r.world.now - r.updated).Seconds() / float64(len(r.jobs))
	}
	r.updated = r.world.now
}

// schedule schedules the next completion.
func (r *resource) schedule() {
	r.scheduled++
	if len(r.jobs) == 0 {
		return
	}
	number := r.scheduled
	seconds := max(0, r.jobs[0].end-r.share) * float64(len(r.jobs)) / r.rate
	r.world.after(time.Duration(seconds*float64(time.Second))+1, func() {
		if number == r.scheduled {
			r.complete()
		}
	})
}

// complete completes the jobs whose end is reached.
func (r *resource) complete() {
	r.advance()
	var done []func()
	for len(r.jobs) > 0 && r.jobs[0].end <= r.share {
		done = append(done, r.jobs[0].done)
		heap.Pop(&r.jobs)
	}
	r.schedule()
	for _, f := range done {
		f()
	}
}
