package ctholding

import (
	"context"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctadmit"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctguard"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctwatch"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctbackend"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// The times of an exchange.
const (
	// coverTime is how long a request waits for a replica that lacks what the
	// session has seen.
	coverTime = 30 * time.Millisecond
	// dialTime bounds the opening of a connection to a backend server.
	dialTime = 3 * time.Second
	// resetTime bounds the reset of a connection.
	resetTime = 3 * time.Second
)

// openOrders is how many orders may wait for an exchange.
const openOrders = 8

// exchange serves the requests of one way: those of one transaction.
type exchange struct {
	holding *Holder
	way     ctframe.Stream
	number  ctadmit.Exchange
	open    *ctframe.FirstRequest
	orders  chan order
	// counted reports whether the queue counts a connection for the exchange.
	// It belongs to the table of members.
	counted bool
	// cancellable is the request that cancel cancels. Both belong to the table
	// of members.
	cancellable ctid.Request
	// abort ends the exchange where it is; it does not change after Serve.
	abort  context.CancelFunc
	cancel func(ctx context.Context) error

	held       ctlock.Held
	connection *ctbackend.Conn
	// request is the one in hand.
	request ctid.Request
	// applied is what the replica showed when the exchange began.
	applied ctposition.Point
}

// tell hands an order to the exchange.
func (x *exchange) tell(order order) {
	x.orders <- order
}

// ServeExchange runs the requests of a way that begins with open, until the way ends or
// its transaction does.
func (h *Holder) ServeExchange(ctx context.Context, way ctframe.Stream, open *ctframe.FirstRequest) {
	x := &exchange{
		holding: h,
		way:     way,
		number:  ctadmit.Exchange(h.last.Add(1)),
		open:    open,
		orders:  make(chan order, openOrders),
		request: open.Request,
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.abort = cancel
	next := x.readNext(cancel)
	if x.suits() && x.ask(open.StartTimeout) && x.begin(ctx) && x.run(ctx, open.Payload) {
		x.follow(ctx, next)
	}
	x.leave()
}

// readNext reads the requests that follow the first one, and ends the exchange
// when the way ends.
func (x *exchange) readNext(cancel context.CancelFunc) <-chan *ctframe.NextRequest {
	next := make(chan *ctframe.NextRequest, 1)
	go func() {
		defer cancel()
		defer close(next)
		for {
			frame, err := x.way.Read()
			if err != nil {
				return
			}
			following, ok := frame.(*ctframe.NextRequest)
			if !ok {
				return
			}
			next <- following
		}
	}()
	return next
}

// follow runs the further requests of an open transaction.
func (x *exchange) follow(ctx context.Context, next <-chan *ctframe.NextRequest) {
	for n := range next {
		x.request = n.Request
		if !x.ask(n.StartTimeout) || !x.run(ctx, n.Payload) {
			return
		}
	}
}

// suits reports whether a replica may serve the exchange as things stand, before
// the exchange waits for a slot. A refusal is passed on.
func (x *exchange) suits() bool {
	return x.open.Term != 0 || x.allowed()
}

// ask waits for the member's queue to start the request and reports whether it
// did. A refusal is passed on.
func (x *exchange) ask(remaining time.Duration) bool {
	x.put(queued{
		exchange: x,
		event: ctadmit.Request{
			Exchange: x.number,
			Caller:   x.open.Caller,
			Deadline: x.holding.Clock.Now().Add(remaining),
		},
	})
	switch o := (<-x.orders).(type) {
	case start:
		if o.idle != nil {
			x.connection = o.idle
		}
		x.log("admit", "slot_free").Dur("waited", o.waited).Send()
		return true
	case refuse:
		x.refuse(o.reason, o.retryAfter)
	}
	return false
}

// begin makes sure that the member may serve the exchange, over a connection of
// its own, and reports whether it does.
func (x *exchange) begin(ctx context.Context) bool {
	if x.connection == nil && !x.dial(ctx) {
		return false
	}
	return x.allowed() && x.restrict(ctx)
}

// allowed reports whether the member may serve the exchange now. It waits a
// moment for a replica that lacks what the session has seen. A refusal is
// passed on.
func (x *exchange) allowed() bool {
	reason := x.guard()
	if reason == ctoutcome.ReasonBehind && x.open.Term == 0 && x.cover() {
		reason = x.guard()
	}
	if reason != ctoutcome.ReasonNone {
		x.refuse(reason, 0)
		return false
	}
	return true
}

func (x *exchange) dial(ctx context.Context) bool {
	announced, ok := x.holding.announced(&x.held, x.open.Member)
	if !ok {
		x.refuse(ctoutcome.ReasonNotHolder, 0)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, dialTime)
	defer cancel()
	connection, err := x.holding.connect(ctx, announced)
	if err != nil {
		x.put(queued{event: ctadmit.DialDone{Exchange: x.number, Failed: true}})
		x.put(failed{})
		x.refuse(ctoutcome.ReasonConnectFailed, 0)
		return false
	}
	x.connection = connection
	return true
}

// guard decides whether the member may serve the exchange now.
func (x *exchange) guard() ctoutcome.Reason {
	h := x.holding
	now := h.Clock.Now()
	view := h.State.View(&x.held)
	subject := ctguard.Member{History: view.Groups[x.open.Group].History}
	known := false
	if x.open.Term != 0 && h.State.HasLease(&x.held, x.open.Group, x.open.Term, now) {
		subject.LeasedTerm = x.open.Term
	}
	h.members.With(&x.held, func(rows map[ctid.Member]*member) {
		if m, ok := rows[x.open.Member]; ok {
			m.sampleFor(now, x.open.MaxAge/samplesPerAge)
			subject.Status = m.status
			subject.Age = m.knownAge(now)
			known = true
		}
	})
	if !known {
		return ctoutcome.ReasonNotHolder
	}
	x.applied = subject.Status.Applied
	incarnation := subject.Status.Incarnation
	if x.connection != nil {
		incarnation = x.connection.Incarnation
	}
	return ctguard.Check(subject, ctguard.Request{
		Term:        x.open.Term,
		MinPoint:    x.open.MinPoint,
		MaxAge:      x.open.MaxAge,
		Incarnation: incarnation,
	})
}

// cover waits a moment for the replica to show what the session has seen.
func (x *exchange) cover() bool {
	x.put(awaited{
		waiter: x,
		entry:  ctwatch.Waiter{Point: x.open.MinPoint, Deadline: x.holding.Clock.Now().Add(coverTime)},
	})
	o, ok := (<-x.orders).(reached)
	return ok && !o.late
}

// restrict makes the connection refuse writes where the request must not write
// and the member is not a replica, which refuses them by itself.
func (x *exchange) restrict(ctx context.Context) bool {
	if !x.open.ReadOnly || x.open.Term == 0 {
		return true
	}
	if _, err := x.connection.Query(ctx, "SET default_transaction_read_only = on"); err != nil {
		x.connection.MarkBroken()
		x.refuse(ctoutcome.ReasonConnectFailed, 0)
		return false
	}
	return true
}

// leave gives back what the exchange has, after the connection was reset.
func (x *exchange) leave() {
	defer x.way.Close()
	reusable := x.connection != nil && x.reset()
	if x.connection != nil && !reusable {
		x.connection.Close()
		x.connection = nil
	}
	x.put(queued{
		event: ctadmit.ExchangeDone{Exchange: x.number, Reusable: reusable},
		idle:  x.connection,
	})
}

// reset returns the connection to the state of a new one and reports whether it
// may be used again.
func (x *exchange) reset() bool {
	if x.connection.Broken() || x.connection.InTransaction() {
		return false
	}
	if !x.connection.Used() {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), resetTime)
	defer cancel()
	_, err := x.connection.Query(ctx, "DISCARD ALL")
	return err == nil
}

func (x *exchange) refuse(reason ctoutcome.Reason, retryAfter time.Duration) {
	x.holding.Metrics.Refusals.WithLabelValues(string(x.open.Member), string(reason)).Inc()
	x.log("refuse", string(reason)).Send()
	_ = x.way.Write(&ctframe.Refused{
		Request:    x.request,
		Reason:     reason,
		RetryAfter: retryAfter,
		Hint:       x.hint(),
	})
}

// hint tells how the member stands.
func (x *exchange) hint() ctframe.Hint {
	var hint ctframe.Hint
	x.holding.members.With(&x.held, func(rows map[ctid.Member]*member) {
		if m, ok := rows[x.open.Member]; ok {
			hint.Applied = m.status.Applied
			hint.ExpectedWait = m.queue.ExpectedWait()
		}
	})
	return hint
}

func (x *exchange) put(e event) {
	x.holding.put(x.open.Member, e)
}

func (x *exchange) log(decision string, why string) logLine {
	return ctlog.Decision(&x.holding.Logger, decision).
		Stringer("request", x.request).
		Str("member", string(x.open.Member)).
		Str("why", why)
}

// announced returns what a held member says of itself.
func (h *Holder) announced(held *ctlock.Held, name ctid.Member) (ctserver.Announcement, bool) {
	var announced ctserver.Announcement
	found := false
	h.members.With(held, func(rows map[ctid.Member]*member) {
		if m, ok := rows[name]; ok {
			announced, found = m.announced, true
		}
	})
	return announced, found
}
