package ctentry

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctroute"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsession"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctpg"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// openTime bounds the opening of a way to a holder, so that a request whose
// holder is gone has time left for another one.
const openTime = 300 * time.Millisecond

// openOrders is how many lists of effects may wait for a conversation. One
// request has one list outstanding; a stop and a deadline may add one each.
const openOrders = 8

// conversation is a caller's connection with its session. The session belongs
// to the worker of its key; the rest belongs to the conversation's goroutine.
type conversation struct {
	entry   *Entry
	session ctsession.Session
	orders  chan []ctsession.Effect

	caller *ctpg.Caller
	held   ctlock.Held
	way    ctframe.Stream
	role   ctserver.Role
	began  time.Time
	// request is the one in hand.
	request *ctpg.Request
	// running identifies what was sent last, for a cancel.
	running cancellable
	// end is the end of the answer, held back until the outcome is decided.
	end []byte
	// sealed is the point whose token the caller has.
	sealed ctposition.Point
	ended  bool
}

// serve serves one connection of a caller.
func (e *Entry) serve(socket net.Conn) {
	id := ctid.Session(e.last.Add(1))
	defer func() { _ = socket.Close() }()
	caller, err := ctpg.Accept(socket, e.options(id))
	if err != nil {
		e.refuseStart(err)
		return
	}
	c := &conversation{entry: e, caller: caller, orders: make(chan []ctsession.Effect, openOrders)}
	if err := c.begin(id); err != nil {
		caller.SendFatal(ctoutcome.SQLStateProtocolViolation, err)
		return
	}
	e.Metrics.Sessions.Inc()
	defer e.Metrics.Sessions.Dec()
	defer c.finish()
	c.converse()
}

// refuseStart handles a connection that did not become a session.
func (e *Entry) refuseStart(err error) {
	var cancellation *ctpg.CancelError
	if errors.As(err, &cancellation) {
		e.cancel(cancellation.Key)
		return
	}
	e.Logger.Info().Str("event", "start_refused").Str("error", err.Error()).Send()
}

// begin makes the session from what the caller stated.
func (c *conversation) begin(id ctid.Session) error {
	startup := c.caller.Startup
	c.session = ctsession.Session{
		ID:       id,
		Group:    startup.Group,
		Caller:   startup.Caller,
		ReadOnly: startup.ReadOnly,
		MaxAge:   startup.MaxAge,
	}
	if startup.Token != "" {
		point, err := c.entry.Sealer.Open(startup.Group, startup.Token)
		if err != nil {
			return err
		}
		c.session.Seen = point
		c.sealed = point
	}
	c.entry.sessions.With(&c.held, func(rows map[ctid.Session]*conversation) { rows[id] = c })
	return nil
}

// finish forgets the session.
func (c *conversation) finish() {
	c.release()
	c.entry.sessions.With(&c.held, func(rows map[ctid.Session]*conversation) { delete(rows, c.session.ID) })
	c.entry.waiting.With(&c.held, func(rows map[ctid.Session]*struct{}) { delete(rows, c.session.ID) })
	c.entry.timers.Clear(timer{session: c.session.ID})
	c.entry.timers.Clear(timer{session: c.session.ID, retry: true})
}

// converse serves the caller's requests until the session ends.
func (c *conversation) converse() {
	if err := c.caller.FinishStartup(""); err != nil {
		return
	}
	c.entry.put(c.session.ID, ctsession.Started{})
	if c.entry.draining.Load() {
		c.entry.put(c.session.ID, ctsession.DrainRequested{})
	}
	for !c.ended {
		request, err := c.caller.Next()
		if err != nil {
			c.endReading(err)
			return
		}
		c.request = request
		c.began = c.entry.Clock.Now()
		c.entry.put(c.session.ID, ctsession.RequestReceived{
			Class: request.Class, Key: request.Key, InvalidKey: request.InvalidKey,
		})
		c.performUntilFinished()
	}
}

// endReading handles the end of the caller's requests: its own doing, a fault,
// or an order to hang up that interrupted the reading.
func (c *conversation) endReading(err error) {
	select {
	case effects := <-c.orders:
		c.perform(effects)
		return
	default:
	}
	if cterror.KindOf(err) == cterror.Invalid {
		c.caller.SendFatal(ctoutcome.SQLStateProtocolViolation, err)
	}
	c.entry.put(c.session.ID, ctsession.CallerClosed{})
}

// performUntilFinished performs effects until the request in hand has ended.
func (c *conversation) performUntilFinished() {
	for {
		if c.perform(<-c.orders) {
			return
		}
	}
}

// perform performs a list of effects and reports whether the request in hand
// has ended.
func (c *conversation) perform(effects []ctsession.Effect) bool {
	finished := false
	for _, effect := range effects {
		switch f := effect.(type) {
		case ctsession.Send:
			c.entry.put(c.session.ID, c.send(f))
		case ctsession.Finish:
			c.tell(f)
			finished = true
		case ctsession.CloseStream:
			c.release()
		case ctsession.Disconnect:
			c.hangup(f)
			finished = true
		}
	}
	return finished
}

// tell ends the request in hand towards the caller.
func (c *conversation) tell(f ctsession.Finish) {
	var err error
	if ran, ok := f.Outcome.(ctoutcome.Ran); ok && !ran.Duplicate {
		err = c.caller.EndAnswer(c.end, c.token(f.Seen))
	} else {
		err = c.caller.SendOutcome(f.Request, f.Outcome, c.token(f.Seen), false)
	}
	c.entry.observe(c, f.Outcome, c.began)
	c.end = nil
	if err != nil {
		c.ended = true
		c.entry.put(c.session.ID, ctsession.CallerClosed{})
	}
}

// token returns the token for the point, or nothing where the caller has it.
func (c *conversation) token(seen ctposition.Point) string {
	if seen == c.sealed || seen.IsZero() {
		return ""
	}
	c.sealed = seen
	return c.entry.Sealer.Seal(c.session.Group, seen)
}

func (c *conversation) hangup(f ctsession.Disconnect) {
	c.ended = true
	_ = c.caller.SendOutcome(f.Request, f.Outcome, "", true)
	c.caller.Close()
}

func (c *conversation) release() {
	if c.way != nil {
		c.way.Close()
		c.way = nil
	}
	c.caller.ResetPrepared()
}

// interrupt wakes the conversation where it waits for the caller.
func (c *conversation) interrupt() {
	c.caller.Interrupt()
}

// send sends the request in hand to the member's holder and relays the answer.
// It returns what came of it as an event.
func (c *conversation) send(f ctsession.Send) ctsession.Event {
	c.role = f.Route.Role
	c.caller.BeginAnswer(c.request)
	if f.SameStream {
		if c.way == nil {
			return ctsession.StreamFailed{Reason: ctoutcome.ReasonTransactionLost}
		}
		return c.exchange(f, &ctframe.NextRequest{
			Request: f.Request, StartTimeout: f.StartTimeout, Payload: c.request.Payload,
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(openTime, f.StartTimeout))
	defer cancel()
	way, err := c.entry.Transport.Open(ctx, f.Route.Holder.Address)
	if err != nil {
		return ctsession.StreamFailed{Reason: ctoutcome.ReasonHolderUnreachable}
	}
	c.way = way
	return c.exchange(f, c.open(f))
}

func (c *conversation) open(f ctsession.Send) *ctframe.FirstRequest {
	open := &ctframe.FirstRequest{
		Request:      f.Request,
		Group:        c.session.Group,
		Member:       f.Route.Member,
		Caller:       c.session.Caller,
		ReadOnly:     f.ReadOnly,
		SingleRead:   c.request.Class.SingleRead() && f.Key == "",
		Key:          f.Key,
		MinPoint:     f.MinPoint,
		MaxAge:       f.MaxAge,
		StartTimeout: f.StartTimeout,
		Payload:      c.request.Payload,
	}
	if f.Route.Role == ctserver.RolePrimary {
		open.Term = f.Route.Term
	}
	return open
}

// exchange writes a frame and reads the answer's frames up to its end.
func (c *conversation) exchange(f ctsession.Send, frame ctframe.Frame) ctsession.Event {
	c.note(f)
	if err := c.way.Write(frame); err != nil {
		return ctsession.StreamFailed{Reason: ctoutcome.ReasonConnectionLost, Sent: true}
	}
	relayed := false
	for {
		answer, err := c.way.Read()
		if err != nil {
			return ctsession.StreamFailed{Reason: ctoutcome.ReasonConnectionLost, Sent: true, Relayed: relayed}
		}
		event, more := c.receive(f, answer)
		if !more {
			return mark(event, relayed)
		}
		relayed = true
	}
}

// receive takes one frame of an answer. It returns an event where the frame
// ends the answer.
func (c *conversation) receive(f ctsession.Send, answer ctframe.Frame) (ctsession.Event, bool) {
	switch a := answer.(type) {
	case *ctframe.Answer:
		if a.Request != f.Request {
			return crossed(), false
		}
		if err := c.caller.Relay(a.Payload); err != nil {
			return ctsession.CallerClosed{}, false
		}
		return nil, true
	case *ctframe.Done:
		if a.Request != f.Request {
			return crossed(), false
		}
		c.end = a.Payload
		c.learn(f, a.Hint)
		return ctsession.Answered{Point: a.Point, InTransaction: a.InTransaction, Duplicate: a.Duplicate}, false
	case *ctframe.Refused:
		if a.Request != f.Request {
			return crossed(), false
		}
		c.learn(f, a.Hint)
		c.entry.Metrics.Retries.WithLabelValues(string(a.Reason)).Inc()
		return ctsession.Refused{Reason: a.Reason}, false
	case *ctframe.OutcomeUnknown:
		return ctsession.StreamFailed{Reason: a.Reason, Sent: true}, false
	}
	return crossed(), false
}

// crossed is the event for a frame that belongs to another request: what became
// of this one can't be told.
func crossed() ctsession.Event {
	return ctsession.StreamFailed{Reason: ctoutcome.ReasonConnectionLost, Sent: true}
}

// mark notes in the event whether part of the answer was relayed.
func mark(event ctsession.Event, relayed bool) ctsession.Event {
	if broken, ok := event.(ctsession.StreamFailed); ok {
		broken.Relayed = relayed
		return broken
	}
	return event
}

// learn keeps what the holder told of the member.
func (c *conversation) learn(f ctsession.Send, hint ctframe.Hint) {
	c.entry.State.RecordHint(&c.held, f.Route.Member, ctroute.Hint{
		Applied:      hint.Applied,
		ExpectedWait: hint.ExpectedWait,
		ReceivedAt:   c.entry.Clock.Now(),
	})
}
