package ctentry

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctbudget"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctroute"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsession"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctpg"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctaccount"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// streamOpenTimeout bounds the opening of a stream to a holder. It is short, because a
// request whose holder is gone needs time left to try another one.
const streamOpenTimeout = 300 * time.Millisecond

// maxPendingEffectLists is how many lists of effects may be pending for a connection.
// The current request accounts for one; a drain and a timer may add one each.
const maxPendingEffectLists = 8

// callerConn is a caller's connection with its session. Only the worker that handles
// the session's events changes the session. The other fields belong to the
// connection's goroutine, except those that pass data between goroutines.
type callerConn struct {
	entry   *Entry
	session ctsession.Session
	// effectLists passes effects from the worker to the connection's goroutine.
	effectLists chan []ctsession.Effect

	caller  *ctpg.Caller
	account *ctaccount.Account
	// statementUsage is the charge for the prepared statements.
	statementUsage ctaccount.Usage
	held           ctlock.Held
	// stream leads to a member's holder; nil if none is open.
	stream ctframe.Stream
	// role is that of the member to which a request was last sent.
	role ctserver.Role
	// startedAt is when the current request was received.
	startedAt time.Time
	// request is the current request.
	request *ctpg.Request
	// cancelTarget identifies what was sent last, for a cancel request.
	cancelTarget cancelTarget
	// answerEnd is the end of the answer. It is sent only after the session has
	// decided on the outcome.
	answerEnd []byte
	// tokenPoint is the point of the token that the caller already has.
	tokenPoint ctposition.Point
	// ended reports that no further request is read.
	ended bool
}

// serve serves one connection of a caller until it ends, and closes the socket.
func (e *Entry) serve(socket net.Conn) {
	id := ctid.Session(e.lastSession.Add(1))
	defer func() { _ = socket.Close() }()
	account, admitted := e.Accounts.Open(func() { _ = socket.Close() })
	defer account.Close()
	if !admitted {
		_ = socket.SetDeadline(time.Now().Add(refusalTimeout))
		ctpg.Refuse(socket, ctoutcome.SQLStateTooManyConnections, errTooManyCallers)
		return
	}
	caller, err := ctpg.Accept(socket, e.callerOptions(id, account))
	if err != nil {
		e.handleAcceptError(err)
		return
	}
	account.Progress()
	c := &callerConn{
		entry: e, caller: caller, account: account, statementUsage: newStatementUsage(account),
		effectLists: make(chan []ctsession.Effect, maxPendingEffectLists),
	}
	if err := c.initSession(id); err != nil {
		caller.SendFatal(ctoutcome.SQLStateProtocolViolation, err)
		return
	}
	e.Metrics.Sessions.Inc()
	defer e.Metrics.Sessions.Dec()
	defer c.cleanUp()
	c.serveRequests()
}

// handleAcceptError handles a connection that did not become a session: it forwards a
// cancel request and logs anything else.
func (e *Entry) handleAcceptError(err error) {
	var cancellation *ctpg.CancelError
	if errors.As(err, &cancellation) {
		e.forwardCancel(cancellation.Key)
		return
	}
	e.Logger.Info().Str("event", "start_refused").Str("error", err.Error()).Send()
}

// initSession creates and registers the session from the caller's startup message. It
// returns an error if the token in the message is invalid.
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

// cleanUp closes the stream and removes the session and its timers.
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
		request, err := c.caller.NextRequest()
		if err != nil {
			c.handleReadError(err)
			return
		}
		if !c.statementUsage.Set(ctbudget.Bytes(c.caller.StatementBytes(request))) {
			c.handleReadError(errTooManyStatements)
			return
		}
		c.request = request
		c.account.SetRunning(true)
		c.startedAt = c.entry.Clock.Now()
		c.entry.enqueue(c.session.ID, ctsession.RequestReceived{
			Class: request.Class, Key: request.Key, InvalidKey: request.InvalidKey,
		})
		c.performUntilFinished()
		c.account.SetRunning(false)
	}
}

// handleReadError handles the failure to read a request. Either a Disconnect effect
// interrupted the read, or the caller closed the connection or broke the protocol.
func (c *callerConn) handleReadError(err error) {
	select {
	case effects := <-c.effectLists:
		c.perform(effects)
		return
	default:
	}
	switch cterror.KindOf(err) {
	case cterror.Invalid:
		c.caller.SendFatal(ctoutcome.SQLStateProtocolViolation, err)
	case cterror.Exhausted:
		c.caller.SendFatal(ctoutcome.SQLStateOutOfMemory, err)
	default:
	}
	c.entry.enqueue(c.session.ID, ctsession.CallerClosed{})
}

// performUntilFinished performs effects until the current request has ended.
func (c *callerConn) performUntilFinished() {
	for {
		if c.perform(<-c.effectLists) {
			return
		}
	}
}

// perform performs a list of effects and reports whether the current request has
// ended.
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

// sendOutcome completes the current request: it sends the caller the end of the answer
// if it ran, or else the outcome.
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

// tokenFor returns the token for a point. It returns an empty string if the caller has
// that token already or the point is zero.
func (c *callerConn) tokenFor(seen ctposition.Point) string {
	if seen == c.tokenPoint || seen.IsZero() {
		return ""
	}
	c.tokenPoint = seen
	return c.entry.Sealer.Seal(c.session.Group, seen)
}

// disconnect sends the caller the outcome as a fatal error and closes the connection.
func (c *callerConn) disconnect(f ctsession.Disconnect) {
	c.ended = true
	_ = c.caller.SendOutcome(f.Request, f.Outcome, "", true)
	c.caller.Close()
}

// closeStream closes the stream to the holder, if one is open. An open transaction
// rolls back, and the prepared statements on the stream are lost.
func (c *callerConn) closeStream() {
	if c.stream != nil {
		c.stream.Close()
		c.stream = nil
	}
	c.caller.ResetPrepared()
}

// interrupt wakes the connection's goroutine if it waits for the caller.
func (c *callerConn) interrupt() {
	c.caller.Interrupt()
}

// send sends the current request to the member's holder and relays the answer to the
// caller. It returns the result as an event.
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

// firstRequest returns the frame that sends the current request over a new stream.
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

// exchange writes a request frame and relays the frames of the answer until it ends.
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

// handleFrame handles one frame of an answer. It returns true if more frames are to
// come, and otherwise the event that ends the request's exchange.
func (c *callerConn) handleFrame(f ctsession.Send, answer ctframe.Frame) (ctsession.Event, bool) {
	switch a := answer.(type) {
	case *ctframe.Answer:
		if a.Request != f.Request {
			return mismatch(), false
		}
		if err := c.relay(a.Payload); err != nil {
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

// mismatch returns the event for a frame that is unexpected or belongs to another
// request. The outcome of the current request is unknown then.
func mismatch() ctsession.Event {
	return ctsession.StreamFailed{Reason: ctoutcome.ReasonConnectionLost, Sent: true}
}

// withRelayed sets in a StreamFailed event whether part of the answer was relayed. It
// returns other events unchanged.
func withRelayed(event ctsession.Event, relayed bool) ctsession.Event {
	if failed, ok := event.(ctsession.StreamFailed); ok {
		failed.Relayed = relayed
		return failed
	}
	return event
}

// recordHint stores the hint about the member that came with the holder's answer.
func (c *callerConn) recordHint(f ctsession.Send, hint ctframe.Hint) {
	c.entry.State.RecordHint(&c.held, f.Route.Member, ctroute.MemberHint{
		Applied:      hint.Applied,
		ExpectedWait: hint.ExpectedWait,
		ReceivedAt:   c.entry.Clock.Now(),
	})
}
