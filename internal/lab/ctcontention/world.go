package ctcontention

import (
	"math/rand/v2"
	"slices"
	"time"
)

// The member of the model: how many statements it runs at once and queues, and how long it counts
// the connections of processes that have lost power.
const (
	Slots             = 4
	QueueDepth        = 32
	OldConnectionsTTL = 3 * time.Second
)

const (
	seed          = 7
	tick          = time.Millisecond
	connectTime   = 12 * time.Millisecond
	sendTimeout   = 120 * time.Millisecond
	targetLatency = 600 * time.Millisecond
)

// request is one statement of a caller. It is rejected unless it is sent by sendBy.
type request struct {
	arrivedAt, sendBy, sentAt, retryAt time.Time
	rejections                         int
}

// task occupies a slot of the member: a statement, or the opening of a connection if request is nil.
type task struct {
	proxy   *proxy
	request *request
	left    time.Duration
}

type proxy struct {
	scheme              Scheme
	idle, open, dialing int
	waiting             []*request
}

// Result is what the callers and the member saw.
type Result struct {
	// OthersInTime is the part of InTime at all proxies but the first one.
	Arrived, InTime, OthersInTime, Refused, Rejected, ConnectionsRejected int
	// InFlight is the mean number of statements at the member while it was busy.
	InFlight float64
}

// Deployment is the number of proxies, the connections that each may open, and those that the
// member accepts.
type Deployment struct {
	Count, Share, MaxConnections int
}

// World is one member and its proxies.
type World struct {
	Deployment
	Result
	// RejectsAll makes the member reject all statements.
	RejectsAll bool
	// Skew is how many times as many requests the first proxy gets as each other one.
	Skew int

	newScheme NewScheme
	// arrivals draws the arrivals, which are the same whatever the scheme.
	arrivals, random *rand.Rand
	now              time.Time
	proxies          []*proxy
	running, queue   []*task
	connections      int
	// old counts the connections of processes that lost power, until oldUntil.
	old      int
	oldUntil time.Time
	// busyTicks counts the ticks in which all slots were in use, and busyTasks sums the tasks at
	// the member in them.
	busyTicks, busyTasks int
}

// New returns a world whose proxies have no connections yet.
func New(d Deployment, newScheme NewScheme) *World {
	w := &World{
		Deployment: d, newScheme: newScheme, now: time.Unix(0, 0),
		arrivals: rand.New(rand.NewPCG(seed, 0)), random: rand.New(rand.NewPCG(seed, 1)),
	}
	for range d.Count {
		w.proxies = append(w.proxies, &proxy{scheme: newScheme(d, w.random)})
	}
	return w
}

// Run runs the model while arrivals come at a rate for all proxies together.
func (w *World) Run(d time.Duration, perSecond float64) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tick) {
		w.serve()
		for due := perSecond * tick.Seconds(); due > 0; due-- {
			if w.arrivals.Float64() < due {
				w.arrive(w.proxies[w.arrivals.IntN(len(w.proxies))])
			}
		}
		for _, i := range w.random.Perm(len(w.proxies)) {
			w.act(w.proxies[i])
		}
	}
	w.InFlight = float64(w.busyTasks) / float64(max(1, w.busyTicks))
}

// arrive lets a request arrive at a proxy, or Skew requests at the first one.
func (w *World) arrive(p *proxy) {
	requests := 1
	if p == w.proxies[0] {
		requests = max(1, w.Skew)
	}
	for range requests {
		p.waiting = append(p.waiting, &request{arrivedAt: w.now, sendBy: w.now.Add(sendTimeout)})
		w.Arrived++
	}
}

// serve lets the member work for one tick.
func (w *World) serve() {
	if n := len(w.running) + len(w.queue); n >= Slots {
		w.busyTicks++
		w.busyTasks += n
	}
	if w.old > 0 && !w.now.Before(w.oldUntil) {
		w.old = 0
	}
	for _, t := range w.running {
		if t.left -= tick; t.left <= 0 {
			w.finish(t)
		}
	}
	w.running = slices.DeleteFunc(w.running, func(t *task) bool { return t.left <= 0 })
	for len(w.running) < Slots && len(w.queue) > 0 {
		w.running = append(w.running, w.queue[0])
		w.queue = w.queue[1:]
	}
}

func (w *World) finish(t *task) {
	t.proxy.idle++
	if t.request == nil {
		t.proxy.dialing--
		t.proxy.scheme.opened(w.now, t.proxy.open)
		return
	}
	t.proxy.scheme.answered(w.now, t.request.sentAt, false)
	if w.now.Sub(t.request.arrivedAt) > targetLatency {
		return
	}
	w.InTime++
	if t.proxy != w.proxies[0] {
		w.OthersInTime++
	}
}

// act lets a proxy refuse what waits for too long, send statements and open connections.
func (w *World) act(p *proxy) {
	p.waiting = slices.DeleteFunc(p.waiting, func(r *request) bool {
		if w.now.Before(r.sendBy) {
			return false
		}
		w.Refused++
		return true
	})
	p.waiting = slices.DeleteFunc(p.waiting, func(r *request) bool {
		if p.idle == 0 || w.now.Before(r.retryAt) || !p.scheme.maySend(w.now) {
			return false
		}
		return w.send(p, r)
	})
	for len(p.waiting) > p.dialing && p.dialing < Slots/2 && p.open < p.scheme.maxOpen(w.now, w.Share, p.dialing) {
		if w.connections+w.old >= w.MaxConnections {
			w.ConnectionsRejected++
			p.scheme.openRejected(w.now, p.open)
			continue
		}
		w.connections++
		p.open++
		p.dialing++
		w.queue = append(w.queue, &task{proxy: p, left: connectTime})
	}
}

// send sends a statement and reports whether the member accepted it.
func (w *World) send(p *proxy, r *request) bool {
	r.sentAt = w.now
	p.scheme.sent(w.now)
	if w.RejectsAll || len(w.running)+len(w.queue) >= Slots+QueueDepth {
		w.Rejected++
		r.rejections++
		r.retryAt = w.now.Add(p.scheme.resendDelay(r.rejections))
		p.scheme.answered(w.now, w.now, true)
		return false
	}
	p.idle--
	// Statements take 15 ms on average.
	left := time.Duration(float64(5*time.Millisecond) + w.random.ExpFloat64()*float64(10*time.Millisecond))
	w.queue = append(w.queue, &task{proxy: p, request: r, left: left})
	return true
}

// LosePower replaces all proxies. The member counts their connections for some time.
func (w *World) LosePower() {
	w.old, w.oldUntil, w.connections = w.connections, w.now.Add(OldConnectionsTTL), 0
	w.running, w.queue = nil, nil
	for i := range w.proxies {
		w.proxies[i] = &proxy{scheme: w.newScheme(w.Deployment, w.random)}
		w.proxies[i].scheme.restarted(w.now)
	}
}

// Measure runs the model for a while and returns what happened in that time.
func (w *World) Measure(d time.Duration, perSecond float64) Result {
	w.Result, w.busyTicks, w.busyTasks = Result{}, 0, 0
	w.Run(d, perSecond)
	return w.Result
}
