package ctstartup

import (
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctintake"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctseek"
)

// Timeouts and intervals of control, as in packages ctcontrol and ctquorum.
const (
	relayTimeout      = 500 * time.Millisecond
	watchWait         = 1500 * time.Millisecond
	leaderRetryDelay  = 50 * time.Millisecond
	leaderlessDelay   = 100 * time.Millisecond
	heartbeatInterval = 60 * time.Millisecond
	electionTimeout   = 300 * time.Millisecond
	// electionTime is how long an election takes.
	electionTime           = 400 * time.Millisecond
	notifyIntervalPerProxy = time.Millisecond
	maxNotifyInterval      = time.Second
	unthrottledProxies     = 64
	initialViewDelay       = 1200 * time.Millisecond
	startNotifyInterval    = 50 * time.Millisecond
	// authorityTTL is how long the authority lasts that a reply grants, from the report on.
	authorityTTL = 2500 * time.Millisecond
)

// viewState is the version of a view: how many proxies it has, and which leader issued it. The
// zero value is no view.
type viewState struct {
	epoch, proxies int
}

// control is a control process.
type control struct {
	world     *world
	index     int
	up        bool
	cpu, link resource
	intake    *intake
	transfers *intake
	gate      ctintake.Gate
	// accepted lists when connections were accepted.
	accepted []time.Duration
	// batch holds the reports that wait for the leader. sending reports whether an earlier
	// batch is under way.
	batch        []*exchange
	sending      bool
	leadingSince time.Duration
	// joined holds the proxies that have reported to this process as the leader.
	joined map[*proxy]bool
	// view is the newest view here, and watchers are the watches that wait for a newer one.
	view     viewState
	watchers []*exchange
	// lastNotified is when the watchers were woken last, and notifyPending reports whether they
	// are to be.
	lastNotified  time.Duration
	notifyPending bool
	// heardAt is when the leader's last heartbeat was handled.
	heardAt time.Duration
}

func newControl(w *world, index int) *control {
	return &control{
		world: w, index: index,
		cpu:    resource{world: w, rate: coreShare / w.plan.Load},
		link:   resource{world: w, rate: w.plan.LinkRate},
		intake: newIntake(w, ctintake.Queue{Slots: ctintake.FrameSlots, MaxWait: ctintake.MaxFrameWait}),
		transfers: newIntake(w, ctintake.Queue{
			Slots: ctintake.ViewSlots, MaxWait: ctintake.MaxViewWait, HandlingTime: ctintake.ViewTime,
		}),
		gate: ctintake.NewGate(),
	}
}

func (c *control) start() {
	c.up = true
}

// compute uses the processor.
func (c *control) compute(cost time.Duration, done func()) {
	c.cpu.use(cost.Seconds(), done)
}

// send sends a message to another control process.
func (c *control) send(to *control, size int, done func()) {
	c.link.use(float64(size), func() { c.world.after(latency(c.index, to.index), done) })
}

// accept accepts a connection, or resets it.
func (c *control) accept(s *stream) {
	if !c.gate.AdmitFrom(c.world.timestamp(), addressOf(proxyRole, s.proxy.index)) {
		c.world.after(latency(s.proxy.index, c.index), s.reset)
		return
	}
	c.compute(acceptCost, func() {
		c.accepted = append(c.accepted, c.world.now)
		s.accepted = true
		c.receiveNext(s)
	})
}

// receiveNext handles the frame that waits in a stream.
func (c *control) receiveNext(s *stream) {
	x := s.waiting
	if x == nil || !s.accepted {
		return
	}
	s.waiting = nil
	s.endTransfer()
	if x.watch {
		c.compute(smallCost, func() { c.handleWatch(x) })
		return
	}
	c.compute(readCost, func() {
		var work ctintake.Work = ctintake.FirstReport{}
		if s.served {
			work = ctintake.Renewal{}
		}
		c.intake.arrive(admission{
			work: work, arrivedAt: x.arrivedAt, timeout: callTimeout,
			start: func(end func()) {
				c.compute(reportCost, func() {
					end()
					c.handleReport(x)
				})
			},
			reject: func(after time.Duration) {
				c.compute(readCost, func() { x.answer(c.world.sizes.small, reply{deferral: ctseek.Busy{After: after}}) })
			},
		})
	})
}

// handleReport answers a report, or adds it to the next batch to the leader.
func (c *control) handleReport(x *exchange) {
	if c.world.leader == c {
		c.grant(x, true)
		return
	}
	c.batch = append(c.batch, x)
	c.world.after(relayTimeout, func() { c.expire(x) })
	c.sendBatch()
}

// expire answers a report that has waited for too long for the leader's reply.
func (c *control) expire(x *exchange) {
	if !x.answered {
		x.answer(c.world.sizes.small, reply{deferral: ctseek.Leaderless{After: leaderlessDelay}})
	}
}

// sendBatch sends the waiting reports to the leader, unless a batch is under way.
func (c *control) sendBatch() {
	if c.sending {
		return
	}
	var batch []*exchange
	for _, x := range c.batch {
		if !x.answered {
			batch = append(batch, x)
		}
	}
	c.batch = nil
	if len(batch) == 0 {
		return
	}
	c.sending = true
	ended := false
	end := func() {
		if !ended {
			ended, c.sending = true, false
			c.sendBatch()
		}
	}
	c.world.after(relayTimeout, func() {
		if !ended {
			for _, x := range batch {
				c.expire(x)
			}
			end()
		}
	})
	c.tryBatch(batch, func() bool { return ended }, end)
}

// tryBatch sends a batch until a leader answers it or it has ended.
func (c *control) tryBatch(batch []*exchange, ended func() bool, end func()) {
	leader := c.world.leader
	retry := func() {
		c.world.after(leaderRetryDelay, func() {
			if !ended() {
				c.tryBatch(batch, ended, end)
			}
		})
	}
	if leader == nil || leader == c {
		retry()
		return
	}
	c.send(leader, len(batch)*c.world.sizes.report, func() {
		leader.intake.arrive(admission{
			work: ctintake.Call{}, arrivedAt: c.world.now, timeout: relayTimeout,
			start: func(done func()) {
				leader.compute(smallCost+time.Duration(len(batch))*batchedCost, func() {
					done()
					if c.world.leader != leader {
						leader.send(c, c.world.sizes.small, retry)
						return
					}
					c.finishBatch(leader, batch, end)
				})
			},
		})
	})
}

// finishBatch answers the reports of a batch that the leader has handled.
func (c *control) finishBatch(leader *control, batch []*exchange, end func()) {
	for _, x := range batch {
		leader.join(x.proxy)
	}
	leader.send(c, len(batch)*c.world.sizes.small, func() {
		for _, x := range batch {
			c.grant(x, false)
		}
		end()
	})
}

// grant answers a report with authority.
func (c *control) grant(x *exchange, leading bool) {
	if x.answered {
		return
	}
	if leading {
		c.join(x.proxy)
	}
	x.stream.served = true
	size := c.world.sizes.reply
	if x.proxy.view != c.view {
		size = c.world.sizes.groupsReply
	}
	x.answer(size, reply{authority: true})
}

// join adds a proxy to the leader's view.
func (c *control) join(p *proxy) {
	if c.joined[p] {
		return
	}
	c.joined[p] = true
	c.view.proxies++
	c.notifyThrottled()
}

// notifyThrottled wakes the watchers, or later if they were woken a short time ago.
func (c *control) notifyThrottled() {
	interval := min(time.Duration(len(c.joined))*notifyIntervalPerProxy, maxNotifyInterval)
	starting := c.world.now-c.leadingSince < initialViewDelay
	if starting {
		interval = max(interval, startNotifyInterval)
	}
	wait := c.lastNotified + interval - c.world.now
	if (!starting && len(c.joined) <= unthrottledProxies) || wait <= 0 {
		c.notify()
		return
	}
	if !c.notifyPending {
		c.notifyPending = true
		c.world.after(wait, func() {
			if c.notifyPending && c.world.leader == c {
				c.notify()
			}
		})
	}
}

// notify sends the leader's view to the other control processes and wakes the watchers.
func (c *control) notify() {
	c.lastNotified, c.notifyPending = c.world.now, false
	c.wake()
	for _, other := range c.world.controls {
		view := c.view
		if other == c || other.view == view {
			continue
		}
		delta := c.world.sizes.delta(other.view, view)
		c.send(other, delta.size, func() {
			if other.view.epoch < view.epoch || (other.view.epoch == view.epoch && other.view.proxies < view.proxies) {
				other.view = view
				other.wake()
			}
		})
	}
}

// wake answers the watches that wait.
func (c *control) wake() {
	watchers := c.watchers
	c.watchers = nil
	for _, x := range watchers {
		c.handleWatch(x)
	}
}

// handleWatch answers a watch with a newer view, or lets it wait for one.
func (c *control) handleWatch(x *exchange) {
	if x.answered || !x.stream.open {
		return
	}
	if x.proxy.view == c.view || c.view.epoch == 0 {
		c.watchers = slices.DeleteFunc(c.watchers, func(other *exchange) bool { return other.answered })
		c.watchers = append(c.watchers, x)
		c.world.after(watchWait, func() {
			if !x.answered {
				x.answer(c.world.sizes.small, reply{})
			}
		})
		return
	}
	view := c.view
	delta := c.world.sizes.delta(x.proxy.view, view)
	if !delta.whole {
		cost := smallCost
		if delta.large {
			cost = largeCost
		}
		c.compute(cost, func() { x.answer(delta.size, reply{view: view}) })
		return
	}
	c.transfers.arrive(admission{
		work: ctintake.View{}, arrivedAt: c.world.now, timeout: watchTimeout,
		start: func(end func()) {
			x.stream.transferEnd = end
			c.world.after(ctintake.MaxViewTime, end)
			c.compute(viewCost, func() { x.answer(delta.size, reply{view: view}) })
		},
		reject: func(after time.Duration) {
			c.compute(readCost, func() { x.answer(c.world.sizes.small, reply{deferral: ctseek.Busy{After: after}}) })
		},
	})
}
