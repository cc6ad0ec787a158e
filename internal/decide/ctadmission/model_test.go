package ctadmission_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctadmission"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctretry"
)

// The member of the model, and the proxies that share it. A deployment with 57 proxies has about
// ten in each failure domain.
const (
	seed              = 7
	tick              = time.Millisecond
	slots             = 4
	queueDepth        = 32
	connectTime       = 12 * time.Millisecond
	oldConnectionsTTL = 3 * time.Second
	sendTimeout       = 120 * time.Millisecond
	targetLatency     = 600 * time.Millisecond
)

// scheme decides for one proxy when statements are sent to the member and connections opened.
type scheme interface {
	// maxOpen returns how many connections may be open or being opened.
	maxOpen(now time.Time, share, dialing int) int
	opened(now time.Time, open int)
	openRejected(now time.Time, open int)
	maySend(now time.Time) bool
	sent(now time.Time)
	answered(now, sentAt time.Time, rejected bool)
	// resendDelay returns when a rejected statement is sent again.
	resendDelay(rejections int) time.Duration
}

// present is the order without admission control: connections are opened after a pause that
// doubles, and a rejected statement is sent again after 15 ms.
type present struct {
	failures int
	nextAt   time.Time
}

func (p *present) maxOpen(now time.Time, share, _ int) int {
	if now.Before(p.nextAt) {
		return 0
	}
	return share
}
func (p *present) opened(time.Time, int) { p.failures = 0 }
func (p *present) openRejected(now time.Time, _ int) {
	p.nextAt = now.Add(min(50*time.Millisecond<<min(p.failures, 8), time.Second))
	p.failures++
}
func (p *present) maySend(time.Time) bool              { return true }
func (p *present) sent(time.Time)                      {}
func (p *present) answered(time.Time, time.Time, bool) {}
func (p *present) resendDelay(int) time.Duration       { return 15 * time.Millisecond }

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
	scheme              scheme
	idle, open, dialing int
	waiting             []*request
}

// result is what the callers and the member saw.
type result struct {
	arrived, inTime, refused, rejected, connectionsRejected int
	// inFlight is the mean number of statements at the member while it was busy.
	inFlight float64
}

// deployment is the number of proxies, the connections that each may open, and those that the
// member accepts.
type deployment struct {
	count, share, maxConnections int
}

// world is one member and its proxies.
type world struct {
	deployment
	result
	random         *rand.Rand
	now            time.Time
	proxies        []*proxy
	running, queue []*task
	connections    int
	// old counts the connections of processes that lost power, until oldUntil.
	old      int
	oldUntil time.Time
	// rejectsAll makes the member reject all statements.
	rejectsAll      bool
	ticks, statTask int
}

func newWorld(d deployment, newScheme func(random *rand.Rand) scheme) *world {
	w := &world{deployment: d, random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(0, 0)}
	for range d.count {
		w.proxies = append(w.proxies, &proxy{scheme: newScheme(w.random)})
	}
	return w
}

// run runs the model while arrivals come at a rate for all proxies together.
func (w *world) run(d time.Duration, perSecond float64) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tick) {
		w.serve()
		for due := perSecond * tick.Seconds(); due > 0; due-- {
			if w.random.Float64() < due {
				p := w.proxies[w.random.IntN(len(w.proxies))]
				p.waiting = append(p.waiting, &request{arrivedAt: w.now, sendBy: w.now.Add(sendTimeout)})
				w.arrived++
			}
		}
		for _, i := range w.random.Perm(len(w.proxies)) {
			w.act(w.proxies[i])
		}
	}
	w.inFlight = float64(w.statTask) / float64(max(1, w.ticks))
}

// serve lets the member work for one tick.
func (w *world) serve() {
	if n := len(w.running) + len(w.queue); n >= slots {
		w.ticks++
		w.statTask += n
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
	for len(w.running) < slots && len(w.queue) > 0 {
		w.running = append(w.running, w.queue[0])
		w.queue = w.queue[1:]
	}
}

func (w *world) finish(t *task) {
	t.proxy.idle++
	if t.request == nil {
		t.proxy.dialing--
		t.proxy.scheme.opened(w.now, t.proxy.open)
		return
	}
	t.proxy.scheme.answered(w.now, t.request.sentAt, false)
	if w.now.Sub(t.request.arrivedAt) <= targetLatency {
		w.inTime++
	}
}

// act lets a proxy refuse what waits for too long, send statements and open connections.
func (w *world) act(p *proxy) {
	p.waiting = slices.DeleteFunc(p.waiting, func(r *request) bool {
		if w.now.Before(r.sendBy) {
			return false
		}
		w.refused++
		return true
	})
	p.waiting = slices.DeleteFunc(p.waiting, func(r *request) bool {
		if p.idle == 0 || w.now.Before(r.retryAt) || !p.scheme.maySend(w.now) {
			return false
		}
		return w.send(p, r)
	})
	for len(p.waiting) > p.dialing && p.dialing < slots/2 && p.open < p.scheme.maxOpen(w.now, w.share, p.dialing) {
		if w.connections+w.old >= w.maxConnections {
			w.connectionsRejected++
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
func (w *world) send(p *proxy, r *request) bool {
	r.sentAt = w.now
	p.scheme.sent(w.now)
	if w.rejectsAll || len(w.running)+len(w.queue) >= slots+queueDepth {
		w.rejected++
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

// losePower replaces all proxies. The member counts their connections for some time.
func (w *world) losePower(newScheme func(random *rand.Rand) scheme) {
	w.old, w.oldUntil, w.connections = w.connections, w.now.Add(oldConnectionsTTL), 0
	w.running, w.queue = nil, nil
	for i := range w.proxies {
		w.proxies[i] = &proxy{scheme: newScheme(w.random)}
	}
}

// controlled is the order with admission control.
type controlled struct {
	limit   ctadmission.Limit
	opening ctadmission.Opening
	random  *rand.Rand
}

func (c *controlled) maxOpen(now time.Time, share, dialing int) int {
	return c.opening.Max(now, share, dialing)
}
func (c *controlled) opened(now time.Time, open int)       { c.opening.Opened(now, open) }
func (c *controlled) openRejected(now time.Time, open int) { c.opening.Rejected(now, open, c.random) }
func (c *controlled) maySend(now time.Time) bool           { return c.limit.Allows(now) }
func (c *controlled) sent(time.Time)                       { c.limit.Start() }
func (c *controlled) answered(now, sentAt time.Time, rejected bool) {
	var outcome ctadmission.Outcome = ctadmission.Answered{Latency: now.Sub(sentAt)}
	if rejected {
		outcome = ctadmission.Rejected{}
	}
	c.limit.Finish(now, sentAt, outcome, c.random)
}
func (c *controlled) resendDelay(rejections int) time.Duration {
	return max(15*time.Millisecond, ctretry.Backoff(rejections, c.random))
}

// schemes returns the present order and the one with admission control.
func (d deployment) schemes() (before, after func(*rand.Rand) scheme) {
	before = func(*rand.Rand) scheme { return &present{} }
	after = func(random *rand.Rand) scheme {
		return &controlled{random: random, limit: ctadmission.Limit{Slots: slots, Processes: d.count}}
	}
	return before, after
}

// measure runs the model for a while and returns what happened in that time.
func (w *world) measure(d time.Duration, perSecond float64) result {
	w.result, w.ticks, w.statTask = result{}, 0, 0
	w.run(d, perSecond)
	return w.result
}

// experiment runs a model and returns what happened in the part of interest.
type experiment func(w *world, newScheme func(*rand.Rand) scheme) result

// compare runs an experiment with the present order and with admission control.
func (d deployment) compare(t *testing.T, experiment experiment) (before, after result) {
	t.Helper()
	newBefore, newAfter := d.schemes()
	before = experiment(newWorld(d, newBefore), newBefore)
	after = experiment(newWorld(d, newAfter), newAfter)
	t.Logf("%+v\nbefore %+v\nafter  %+v", d, before, after)
	return before, after
}

// assertServes checks that not many fewer requests are served in time than before.
func assertServes(t *testing.T, before, after result) {
	t.Helper()
	assert.Assert(t, float64(after.inTime)/float64(after.arrived) >= 0.95*float64(before.inTime)/float64(before.arrived))
}

// The usual load is three quarters of the member's capacity, a burst more than twice of it.
const (
	usualRate = 200
	burstRate = 600
)

// TestModel compares the present order with admission control. It guards against rejections that
// come back at once, and against connections that are opened while the member counts old ones.
func TestModel(t *testing.T) {
	t.Run("a burst is not rejected by the member", func(t *testing.T) {
		before, after := deployment{10, 4, 42}.compare(t, func(w *world, _ func(*rand.Rand) scheme) result {
			w.run(3*time.Second, usualRate)
			return w.measure(2*time.Second, burstRate)
		})
		assert.Assert(t, before.rejected > 1000 && after.rejected < 50)
		assertServes(t, before, after)
	})
	t.Run("a member that rejects all is not sent each request again and again", func(t *testing.T) {
		before, after := deployment{10, 4, 42}.compare(t, func(w *world, _ func(*rand.Rand) scheme) result {
			w.run(time.Second, usualRate)
			w.rejectsAll = true
			return w.measure(time.Second, usualRate)
		})
		assert.Assert(t, before.rejected > 5*before.arrived && after.rejected < after.arrived)
	})
	t.Run("connections after a loss fit in beside the old ones", func(t *testing.T) {
		before, after := deployment{10, 3, 42}.compare(t, func(w *world, newScheme func(*rand.Rand) scheme) result {
			w.run(time.Second, burstRate)
			w.losePower(newScheme)
			for _, p := range w.proxies {
				if c, ok := p.scheme.(*controlled); ok {
					c.opening.Begin(w.now, 1, w.random)
				}
			}
			return w.measure(oldConnectionsTTL+time.Second, usualRate)
		})
		assert.Assert(t, after.connectionsRejected < before.connectionsRejected)
		assert.Assert(t, after.inTime > before.inTime)
	})
	// With 60 proxies, one statement of each is more than the member takes.
	for _, d := range []struct {
		deployment
		inFlight float64
	}{{deployment{1, 50, 200}, 25}, {deployment{10, 20, 200}, 25}, {deployment{60, 3, 200}, slots + queueDepth}} {
		t.Run("the limit converges near the slots", func(t *testing.T) {
			before, after := d.compare(t, func(w *world, _ func(*rand.Rand) scheme) result {
				w.run(3*time.Second, usualRate)
				w.run(2*time.Second, burstRate)
				return w.measure(4*time.Second, burstRate)
			})
			assert.Assert(t, after.inFlight < d.inFlight && after.rejected < before.rejected/10)
			assertServes(t, before, after)
		})
	}
	t.Run("nothing changes where there is room", func(t *testing.T) {
		before, after := deployment{3, 14, 42}.compare(t, func(w *world, _ func(*rand.Rand) scheme) result {
			return w.measure(20*time.Second, usualRate/2)
		})
		assert.Equal(t, before, after)
	})
}
