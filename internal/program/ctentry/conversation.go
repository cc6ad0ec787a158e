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

// streamOpenTimeout bounds the opening of a way to a holder, so that a request whose
// holder is gone has time left for another one.
const streamOpenTimeout = 300 * time.Millisecond

// maxPendingEffectLists is how many lists of effects may wait for a conversation. One
// request has one list outstanding; a stop and a deadline may add one each.
const maxPendingEffectLists = 8

// callerConn is a caller's connection with its session. The session belongs
// to the worker of its key; the rest belongs to the conversation's goroutine.
type callerConn struct {
	entry       *Entry
	session     ctsession.Session
	effectLists chan []ctsession.Effect

	caller    *ctpg.Caller
	held      ctlock.Held
	stream    ctframe.Stream
	role      ctserver.Role
	startedAt time.Time
	// request is the one in hand.
	request *ctpg.Request
	// cancelTarget identifies what was sent last, for a cancel.
	cancelTarget cancelTarget
	// answerEnd is the end of the answer, held back until the outcome is decided.
	answerEnd []byte
	// tokenPoint is the point whose token the caller has.
	tokenPoint ctposition.Point
	ended      bool
}

// serve serves one connection of a caller.
func (e *Entry) serve(socket net.Conn) {
	id := ctid.Session(e.lastSession.Add(1))
	defer func() { _ = socket.Close() }()
	caller, err := ctpg.Accept(socket, e.callerOptions(id))
	if err != nil {
		e.handleAcceptError(err)
		return
	}
	c := &callerConn{entry: e, caller: caller, effectLists: make(chan []ctsession.Effect, maxPendingEffectLists)}
	if err := c.initSession(id); err != nil {
		caller.SendFatal(ctoutcome.SQLStateProtocolViolation, err)
		return
	}
	e.Metrics.Sessions.Inc()
	defer e.Metrics.Sessions.Dec()
	defer c.cleanUp()
	c.serveRequests()
}

// handleAcceptError handles a connection that did not become a session.
func (e *Entry) handleAcceptError(err error) {
	var cancellation *ctpg.CancelError
	if errors.As(err, &cancellation) {
		e.forwardCancel(cancellation.Key)
		return
	}
	e.Logger.Info().Str("event", "start_refused").Str("error", err.Error()).Send()
}

// initSession makes the session from what the caller stated.
func (c *callerConn) initSession(id ctid.Session) error {
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
		c.tokenPoint = point
	}
	c.entry.sessions.With(&c.held, func(sessions map[ctid.Session]*callerConn) { sessions[id] = c })
	return nil
}

// cleanUp forgets the session.
func (c *callerConn) cleanUp() {
	c.closeStream()
	c.entry.sessions.With(&c.held, func(sessions map[ctid.Session]*callerConn) { delete(sessions, c.session.ID) })
	c.entry.waiting.With(&c.held, func(waiting map[ctid.Session]*struct{}) { delete(waiting, c.session.ID) })
	c.entry.timers.Clear(timer{session: c.session.ID})
	c.entry.timers.Clear(timer{session: c.session.ID, retry: true})
}

// serveRequests serves the caller's requests until the session ends.
func (c *callerConn) serveRequests() {
	if err := c.caller.FinishStartup(""); err != nil {
		return
	}
	c.entry.enqueue(c.session.ID, ctsession.Started{})
	if c.entry.draining.Load() {
		c.entry.enqueue(c.session.ID, ctsession.DrainRequested{})
	}
	for !c.ended {
		request, err := c.caller.Next()
		if err != nil {
			c.handleReadError(err)
			return
		}
		c.request = request
		c.startedAt = c.entry.Clock.Now()
		c.entry.enqueue(c.session.ID, ctsession.RequestReceived{
			Class: request.Class, Key: request.Key, InvalidKey: request.InvalidKey,
		})
		c.performUntilFinished()
	}
}

// handleReadError handles the end of the caller's requests: its own doing, a fault,
// or an order to hang up that interrupted the reading.
func (c *callerConn) handleReadError(err error) {
	select {
	case effects := <-c.effectLists:
		c.perform(effects)
		return
	default:
	}
	if cterror.KindOf(err) == cterror.Invalid {
		c.caller.SendFatal(ctoutcome.SQLStateProtocolViolation, err)
	}
	c.entry.enqueue(c.session.ID, ctsession.CallerClosed{})
}

// performUntilFinished performs effects until the request in hand has ended.
func (c *callerConn) performUntilFinished() {
	for {
		if c.perform(<-c.effectLists) {
			return
		}
	}
}

// perform performs a list of effects and reports whether the request in hand
// has ended.
func (c *callerConn) perform(effects []ctsession.Effect) bool {
	finished := false
	for _, effect := range effects {
		switch f := effect.(type) {
		case ctsession.Send:
			c.entry.enqueue(c.session.ID, c.send(f))
		case ctsession.Finish:
			c.sendOutcome(f)
			finished = true
		case ctsession.CloseStream:
			c.closeStream()
		case ctsession.Disconnect:
			c.disconnect(f)
			finished = true
		}
	}
	return finished
}

// sendOutcome ends the request in hand towards the caller.
func (c *callerConn) sendOutcome(f ctsession.Finish) {
	var err error
	if ran, ok := f.Outcome.(ctoutcome.Ran); ok && !ran.Duplicate {
		err = c.caller.EndAnswer(c.answerEnd, c.tokenFor(f.Seen))
	} else {
		err = c.caller.SendOutcome(f.Request, f.Outcome, c.tokenFor(f.Seen), false)
	}
	c.entry.observeRequest(c, f.Outcome, c.startedAt)
	c.answerEnd = nil
	if err != nil {
		c.ended = true
		c.entry.enqueue(c.session.ID, ctsession.CallerClosed{})
	}
}

// tokenFor returns the token for the point, or nothing where the caller has it.
func (c *callerConn) tokenFor(seen ctposition.Point) string {
	if seen == c.tokenPoint || seen.IsZero() {
		return ""
	}
	c.tokenPoint = seen
	return c.entry.Sealer.Seal(c.session.Group, seen)
}

func (c *callerConn) disconnect(f ctsession.Disconnect) {
	c.ended = true
	_ = c.caller.SendOutcome(f.Request, f.Outcome, "", true)
	c.caller.Close()
}

func (c *callerConn) closeStream() {
	if c.stream != nil {
		c.stream.Close()
		c.stream = nil
	}
	c.caller.ResetPrepared()
}

// interrupt wakes the conversation where it waits for the caller.
func (c *callerConn) interrupt() {
	c.caller.Interrupt()
}

// send sends the request in hand to the member's holder and relays the answer.
// It returns what came of it as an event.
func (c *callerConn) send(f ctsession.Send) ctsession.Event {
	c.role = f.Route.Role
	c.caller.BeginAnswer(c.request)
	if f.SameStream {
		if c.stream == nil {
			return ctsession.StreamFailed{Reason: ctoutcome.ReasonTransactionLost}
		}
		return c.exchange(f, &ctframe.NextRequest{
			Request: f.Request, StartTimeout: f.StartTimeout, Payload: c.request.Payload,
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(streamOpenTimeout, f.StartTimeout))
	defer cancel()
	stream, err := c.entry.Transport.Open(ctx, f.Route.Holder.Address)
	if err != nil {
		return ctsession.StreamFailed{Reason: ctoutcome.ReasonHolderUnreachable}
	}
	c.stream = stream
	return c.exchange(f, c.firstRequest(f))
}

func (c *callerConn) firstRequest(f ctsession.Send) *ctframe.FirstRequest {
	frame := &ctframe.FirstRequest{
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
		frame.Term = f.Route.Term
	}
	return frame
}

// exchange writes a frame and reads the answer's frames up to its end.
func (c *callerConn) exchange(f ctsession.Send, frame ctframe.Frame) ctsession.Event {
	c.recordSent(f)
	if err := c.stream.Write(frame); err != nil {
		return ctsession.StreamFailed{Reason: ctoutcome.ReasonConnectionLost, Sent: true}
	}
	relayed := false
	for {
		answer, err := c.stream.Read()
		if err != nil {
			return ctsession.StreamFailed{Reason: ctoutcome.ReasonConnectionLost, Sent: true, Relayed: relayed}
		}
		event, more := c.handleFrame(f, answer)
		if !more {
			return withRelayed(event, relayed)
		}
		relayed = true
	}
}

// handleFrame takes one frame of an answer. It returns an event where the frame
// ends the answer.
func (c *callerConn) handleFrame(f ctsession.Send, answer ctframe.Frame) (ctsession.Event, bool) {
	switch a := answer.(type) {
	case *ctframe.Answer:
		if a.Request != f.Request {
			return mismatch(), false
		}
		if err := c.caller.Relay(a.Payload); err != nil {
			return ctsession.CallerClosed{}, false
		}
		return nil, true
	case *ctframe.Done:
		if a.Request != f.Request {
			return mismatch(), false
		}
		c.answerEnd = a.Payload
		c.recordHint(f, a.Hint)
		return ctsession.Answered{Point: a.Point, InTransaction: a.InTransaction, Duplicate: a.Duplicate}, false
	case *ctframe.Refused:
		if a.Request != f.Request {
			return mismatch(), false
		}
		c.recordHint(f, a.Hint)
		c.entry.Metrics.Retries.WithLabelValues(string(a.Reason)).Inc()
		return ctsession.Refused{Reason: a.Reason}, false
	case *ctframe.OutcomeUnknown:
		return ctsession.StreamFailed{Reason: a.Reason, Sent: true}, false
	}
	return mismatch(), false
}

// mismatch is the event for a frame that belongs to another request: what became
// of this one can't be told.
func mismatch() ctsession.Event {
	return ctsession.StreamFailed{Reason: ctoutcome.ReasonConnectionLost, Sent: true}
}

// withRelayed notes in the event whether part of the answer was relayed.
func withRelayed(event ctsession.Event, relayed bool) ctsession.Event {
	if failed, ok := event.(ctsession.StreamFailed); ok {
		failed.Relayed = relayed
		return failed
	}
	return event
}

// recordHint keeps what the holder told of the member.
func (c *callerConn) recordHint(f ctsession.Send, hint ctframe.Hint) {
	c.entry.State.RecordHint(&c.held, f.Route.Member, ctroute.Hint{
		Applied:      hint.Applied,
		ExpectedWait: hint.ExpectedWait,
		ReceivedAt:   c.entry.Clock.Now(),
	})
}
