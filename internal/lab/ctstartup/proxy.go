package ctstartup

import (
	"net/netip"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctseek"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
)

// Timeouts, delays and intervals of a proxy, as in package ctuplink.
const (
	heartbeat         = 400 * time.Millisecond
	intervalPerProxy  = 3 * time.Millisecond
	maxReportInterval = time.Second
	callTimeout       = ctframe.ReportTimeout
	watchTimeout      = 3500 * time.Millisecond
	watchRetryDelay   = 30 * time.Millisecond
	maxWatchDelay     = 480 * time.Millisecond
)

// reply is what a proxy receives.
type reply struct {
	authority bool
	// deferral asks the proxy to call again; nil if the reply is an answer.
	deferral ctseek.Deferral
	// view is the view that the reply brings; zero if it brings none.
	view viewState
}

// stream is a connection of a proxy to a control process.
type stream struct {
	proxy    *proxy
	control  *control
	open     bool
	accepted bool
	// waiting is the frame that the control process has not read yet.
	waiting *exchange
	// transfer is the reply that is being sent.
	transfer *job
	// served reports whether a report was answered on the stream.
	served bool
	// transferEnd ends the transmission of a large view; nil if there is none.
	transferEnd func()
	// failed is called when the control process resets the connection.
	failed func()
}

// reset is what a proxy sees when the control process refuses to accept its connection.
func (s *stream) reset() {
	if s.open && s.failed != nil {
		s.failed()
	}
}

// endTransfer ends the transmission of a large view: its receiver has sent another frame, or
// is gone.
func (s *stream) endTransfer() {
	if s.transferEnd != nil {
		s.transferEnd()
		s.transferEnd = nil
	}
}

// exchange is a report or a watch with its reply.
type exchange struct {
	proxy  *proxy
	stream *stream
	watch  bool
	// arrivedAt is when the control process received the frame.
	arrivedAt time.Duration
	// answered reports whether a reply was sent.
	answered bool
	received func(reply)
}

// answer sends the reply to the proxy.
func (x *exchange) answer(size int, r reply) {
	if x.answered {
		return
	}
	x.answered = true
	s := x.stream
	if !s.open {
		return
	}
	s.transfer = s.control.link.use(float64(size), func() {
		x.proxy.world.after(latency(x.proxy.index, s.control.index), func() {
			if s.open {
				x.received(r)
			}
		})
	})
}

// proxy is a proxy of the fleet, with its streams to control.
type proxy struct {
	world  *world
	index  int
	seeker ctseek.Seeker
	// reports is the stream of reports, and watches that of watches; nil if none is open.
	reports, watches *stream
	// route is the control process that answered the last report; nil while reports fail.
	route *control
	// watching reports whether the loop of watches has a control process to ask.
	watching   bool
	watchDelay time.Duration

	view            viewState
	authorityExpiry time.Duration
	// authorized is whether the proxy had authority at the last sample.
	authorized bool
}

func newProxy(w *world, index int) *proxy {
	self := netip.AddrPortFrom(addressOf(proxyRole, index), peerPort)
	return &proxy{world: w, index: index, seeker: ctseek.Seeker{Self: self, Random: w.random}}
}

func (p *proxy) start() {
	p.report()
}

// controlAddresses lists the addresses of all control processes.
func (w *world) controlAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for i := range w.controls {
		addresses = append(addresses, netip.AddrPortFrom(addressOf(controlRole, i), peerPort))
	}
	return addresses
}

// report sends a report, over a new stream if none is open.
func (p *proxy) report() {
	if p.reports != nil {
		p.sendReport()
		return
	}
	addresses := p.world.controlAddresses()
	target, ok := p.seeker.Next(addresses, nil).(ctseek.Control)
	if !ok {
		return
	}
	for i, address := range addresses {
		if address == target.Address {
			p.openReports(p.world.controls[i], address)
		}
	}
}

// openReports opens a stream for reports and sends one.
func (p *proxy) openReports(c *control, address netip.AddrPort) {
	roundTrip := 2 * latency(p.index, c.index)
	p.world.after(roundTrip, func() {
		if !c.up {
			p.failReport()
			return
		}
		p.seeker.RecordOpened(address, roundTrip)
		p.reports = &stream{proxy: p, control: c, open: true}
		c.accept(p.reports)
		p.sendReport()
	})
}

// sendReport sends a report over the open stream.
func (p *proxy) sendReport() {
	w, s, sentAt := p.world, p.reports, p.world.now
	ended := false
	x := &exchange{proxy: p, stream: s}
	x.received = func(r reply) {
		if ended {
			return
		}
		ended = true
		if r.deferral != nil {
			p.deferReport(r.deferral)
			return
		}
		p.seeker.RecordAnswer()
		p.authorityExpiry = max(p.authorityExpiry, sentAt+authorityTTL)
		p.apply(r.view)
		p.route = s.control
		if !p.watching {
			p.watching = true
			p.watch()
		}
		interval := min(time.Duration(p.view.proxies)*intervalPerProxy, maxReportInterval)
		w.after(max(heartbeat, interval), p.report)
	}
	fail := func() {
		if !ended {
			ended = true
			p.failReport()
		}
	}
	s.failed = fail
	p.deliver(x)
	w.after(callTimeout, fail)
}

// deferReport reports again after the time that a control process asked for.
func (p *proxy) deferReport(deferral ctseek.Deferral) {
	delay, stay := p.seeker.RecordDeferral(deferral)
	if !stay {
		p.reports.close()
		p.reports, p.route = nil, nil
	}
	p.world.after(delay, p.report)
}

// deliver sends a frame to the control process of its stream.
func (p *proxy) deliver(x *exchange) {
	s := x.stream
	p.world.after(latency(p.index, s.control.index), func() {
		s.waiting, x.arrivedAt = x, p.world.now
		s.control.receiveNext(s)
	})
}

// failReport closes the stream of reports and tries again after a pause.
func (p *proxy) failReport() {
	p.reports.close()
	p.reports, p.route = nil, nil
	p.seeker.RecordFailure()
	p.world.after(p.seeker.Delay(controlCount), p.report)
}

// close closes a stream, which may be nil. What is being sent over it stops.
func (s *stream) close() {
	if s != nil && s.open {
		s.open = false
		s.control.link.cancel(s.transfer)
		s.endTransfer()
	}
}

// apply applies a view that a reply brought.
func (p *proxy) apply(view viewState) {
	if view.epoch > p.view.epoch || (view.epoch == p.view.epoch && view.proxies > p.view.proxies) {
		p.view = view
	}
}

// watch sends a watch to the control process that answers the reports.
func (p *proxy) watch() {
	w := p.world
	if p.route == nil {
		p.watches.close()
		p.watches, p.watching = nil, false
		return
	}
	if p.watches != nil && p.watches.control != p.route {
		p.watches.close()
		p.watches = nil
	}
	if p.watches != nil {
		p.sendWatch()
		return
	}
	c := p.route
	w.after(2*latency(p.index, c.index), func() {
		p.watches = &stream{proxy: p, control: c, open: true}
		c.accept(p.watches)
		p.sendWatch()
	})
}

// sendWatch sends a watch over the open stream.
func (p *proxy) sendWatch() {
	ended := false
	x := &exchange{proxy: p, stream: p.watches, watch: true}
	x.received = func(r reply) {
		if ended {
			return
		}
		ended = true
		p.watchDelay = 0
		if busy, ok := r.deferral.(ctseek.Busy); ok {
			p.world.after(busy.After+p.world.uniform(busy.After), p.watch)
			return
		}
		p.apply(r.view)
		p.watch()
	}
	fail := func() {
		if ended {
			return
		}
		ended = true
		p.watches.close()
		p.watches = nil
		p.watchDelay = min(max(2*p.watchDelay, watchRetryDelay), maxWatchDelay)
		p.world.after(p.watchDelay, p.watch)
	}
	p.watches.failed = fail
	p.deliver(x)
	p.world.after(watchTimeout, fail)
}
