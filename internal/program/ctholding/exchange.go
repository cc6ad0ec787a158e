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

// Bounds on the steps of an exchange.
const (
	// catchUpTimeout is how long a request waits for a replica that has not yet
	// applied what the session has seen.
	catchUpTimeout = 30 * time.Millisecond
	// dialTimeout bounds opening a connection to a backend server.
	dialTimeout = 3 * time.Second
	// resetTimeout bounds resetting a connection before its reuse.
	resetTimeout = 3 * time.Second
)

// resultBuffer is how many undelivered results of an exchange are buffered, so
// that workers do not block.
const resultBuffer = 8

// exchange serves the requests of one stream, which form one transaction.
type exchange struct {
	holder  *Holder
	stream  ctframe.Stream
	number  ctadmit.Exchange
	first   *ctframe.FirstRequest
	results chan result
	// connectionCounted reports whether the queue counts a connection for the
	// exchange. The lock of the table of members guards it.
	connectionCounted bool
	// cancellableRequest is the request that cancel cancels; zero for none. cancelSent reports
	// whether cancel was called. The lock of the table of members guards all three.
	cancellableRequest ctid.Request
	cancelSent         bool
	// abort cancels the context of the exchange. It is set once, at the start.
	abort  context.CancelFunc
	cancel func(ctx context.Context) error

	held       ctlock.Held
	connection *ctbackend.Conn
	// request is the current request.
	request ctid.Request
	// applied is the point that the replica had applied at the last check.
	applied ctposition.Point
}

// deliver passes a result to the goroutine of the exchange.
func (x *exchange) deliver(r result) {
	x.results <- r
}

// ServeExchange runs the requests of a stream that begins with first. It returns
// when the stream or the transaction ends, and closes the stream.
func (h *Holder) ServeExchange(ctx context.Context, stream ctframe.Stream, first *ctframe.FirstRequest) {
	x := &exchange{
		holder:  h,
		stream:  stream,
		number:  ctadmit.Exchange(h.lastExchange.Add(1)),
		first:   first,
		results: make(chan result, resultBuffer),
		request: first.Request,
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.abort = cancel
	next := x.readNext(cancel)
	if x.replicaMayServe() && x.awaitAdmission(first.StartTimeout) && x.prepare(ctx) && x.run(ctx, first.Payload) {
		x.runNext(ctx, next)
	}
	x.finish()
}

// readNext reads the requests after the first one into the returned channel. It
// calls cancel when the stream ends.
func (x *exchange) readNext(cancel context.CancelFunc) <-chan *ctframe.NextRequest {
	next := make(chan *ctframe.NextRequest, 1)
	go func() {
		defer cancel()
		defer close(next)
		for {
			frame, err := x.stream.Read()
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

// runNext runs the remaining requests of an open transaction.
func (x *exchange) runNext(ctx context.Context, next <-chan *ctframe.NextRequest) {
	for n := range next {
		x.request = n.Request
		if !x.awaitAdmission(n.StartTimeout) || !x.run(ctx, n.Payload) {
			return
		}
	}
}

// replicaMayServe checks a replica before the exchange waits for a slot, and
// reports whether it may serve the exchange. It is true for a primary, which is
// checked later. A refusal is sent to the entry proxy.
func (x *exchange) replicaMayServe() bool {
	return x.first.Term != 0 || x.mayServe()
}

// awaitAdmission waits for the member's queue to admit the request and reports
// whether it did. A refusal is sent to the entry proxy.
func (x *exchange) awaitAdmission(remaining time.Duration) bool {
	x.enqueue(queueEvent{
		exchange: x,
		event: ctadmit.Request{
			Exchange: x.number,
			Caller:   x.first.Caller,
			Deadline: x.holder.Clock.Now().Add(remaining),
		},
	})
	switch r := (<-x.results).(type) {
	case admitted:
		if r.idle != nil {
			x.connection = r.idle
		}
		x.log("admit", "slot_free").Dur("waited", r.waited).Send()
		return true
	case refused:
		x.sendRefused(r.reason, r.retryAfter)
	}
	return false
}

// prepare opens a connection if the exchange has none, checks that the member may
// serve the exchange over it, and reports whether all of that succeeded.
func (x *exchange) prepare(ctx context.Context) bool {
	if x.connection == nil && !x.dial(ctx) {
		return false
	}
	return x.mayServe() && x.setReadOnly(ctx)
}

// mayServe reports whether the member may serve the exchange now. It waits up to
// catchUpTimeout for a replica that has not applied what the session has seen. A
// refusal is sent to the entry proxy.
func (x *exchange) mayServe() bool {
	reason := x.check()
	if reason == ctoutcome.ReasonBehind && x.first.Term == 0 && x.awaitCatchUp() {
		reason = x.check()
	}
	if reason != ctoutcome.ReasonNone {
		x.sendRefused(reason, 0)
		return false
	}
	return true
}

func (x *exchange) dial(ctx context.Context) bool {
	announcement, ok := x.holder.announcement(&x.held, x.first.Member)
	if !ok {
		x.sendRefused(ctoutcome.ReasonNotHolder, 0)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	connection, err := x.holder.connect(ctx, announcement)
	if err != nil {
		x.enqueue(queueEvent{event: ctadmit.DialDone{Exchange: x.number, Failed: true}})
		x.enqueue(connectionFailed{})
		x.sendRefused(ctoutcome.ReasonConnectFailed, 0)
		return false
	}
	x.connection = connection
	return true
}

// check returns why the member may not serve the exchange now, or ReasonNone.
func (x *exchange) check() ctoutcome.Reason {
	h := x.holder
	now := h.Clock.Now()
	view := h.State.View(&x.held)
	subject := ctguard.Member{History: view.Groups[x.first.Group].History}
	known := false
	if x.first.Term != 0 && h.State.HasLease(&x.held, x.first.Group, x.first.Term, now) {
		subject.LeasedTerm = x.first.Term
	}
	h.members.With(&x.held, func(members map[ctid.Member]*member) {
		if m, ok := members[x.first.Member]; ok {
			m.requestSamples(now, x.first.MaxAge/samplesPerMaxAge)
			subject.Status = m.status
			subject.Age = m.ageOption(now)
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
		Term:        x.first.Term,
		MinPoint:    x.first.MinPoint,
		MaxAge:      x.first.MaxAge,
		Incarnation: incarnation,
	})
}

// awaitCatchUp waits up to catchUpTimeout for the replica to apply what the
// session has seen, and reports whether it did.
func (x *exchange) awaitCatchUp() bool {
	x.enqueue(waitRequested{
		waiter: x,
		entry:  ctwatch.Waiter{Point: x.first.MinPoint, Deadline: x.holder.Clock.Now().Add(catchUpTimeout)},
	})
	r, ok := (<-x.results).(waitEnded)
	return ok && !r.timedOut
}

// setReadOnly makes a connection to a primary refuse writes if the request must
// not write, and reports whether that succeeded. A replica refuses writes anyway.
func (x *exchange) setReadOnly(ctx context.Context) bool {
	if !x.first.ReadOnly || x.first.Term == 0 {
		return true
	}
	if _, err := x.connection.Query(ctx, "SET default_transaction_read_only = on"); err != nil {
		x.connection.MarkBroken()
		x.sendRefused(ctoutcome.ReasonConnectFailed, 0)
		return false
	}
	return true
}

// finish resets the connection, returns it to the member or closes it, and closes
// the stream.
func (x *exchange) finish() {
	defer x.stream.Close()
	reusable := x.connection != nil && x.reset()
	if x.connection != nil && !reusable {
		x.holder.closeConnection(x.first.Member, x.connection)
		x.connection = nil
	}
	x.enqueue(queueEvent{
		event: ctadmit.ExchangeDone{Exchange: x.number, Reusable: reusable},
		idle:  x.connection,
	})
}

// reset restores the connection's session state to that of a new one and reports
// whether it may be reused.
func (x *exchange) reset() bool {
	if x.connection.Broken() || x.connection.InTransaction() || x.wasCancelled() {
		return false
	}
	if !x.connection.Used() {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), resetTimeout)
	defer cancel()
	_, err := x.connection.Query(ctx, "DISCARD ALL")
	return err == nil
}

// sendRefused counts and logs a refusal of the current request and sends it to the
// entry proxy.
func (x *exchange) sendRefused(reason ctoutcome.Reason, retryAfter time.Duration) {
	x.holder.Metrics.Refusals.WithLabelValues(string(x.first.Member), string(reason)).Inc()
	x.log("refuse", string(reason)).Send()
	_ = x.stream.Write(&ctframe.Refused{
		Request:    x.request,
		Reason:     reason,
		RetryAfter: retryAfter,
		Hint:       x.hint(),
	})
}

// hint returns the member's applied point and expected wait, which entry proxies
// use for routing. It is zero if the member is not held.
func (x *exchange) hint() ctframe.Hint {
	var hint ctframe.Hint
	x.holder.members.With(&x.held, func(members map[ctid.Member]*member) {
		if m, ok := members[x.first.Member]; ok {
			hint.Applied = m.status.Applied
			hint.ExpectedWait = m.queue.ExpectedWait()
		}
	})
	return hint
}

func (x *exchange) enqueue(e event) {
	x.holder.enqueue(x.first.Member, e)
}

func (x *exchange) log(decision string, reason string) logLine {
	return ctlog.Decision(&x.holder.Logger, decision).
		Stringer("request", x.request).
		Str("member", string(x.first.Member)).
		Str("why", reason)
}

// announcement returns the announcement of a held member, and false if the member
// is not held.
func (h *Holder) announcement(held *ctlock.Held, name ctid.Member) (ctserver.Announcement, bool) {
	var announcement ctserver.Announcement
	found := false
	h.members.With(held, func(members map[ctid.Member]*member) {
		if m, ok := members[name]; ok {
			announcement, found = m.announcement, true
		}
	})
	return announcement, found
}
