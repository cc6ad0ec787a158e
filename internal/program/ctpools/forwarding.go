package ctpools

import (
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// forwardReplyGrace is how long after the query's deadline the forwarding proxy's reply
// may still arrive.
const forwardReplyGrace = 150 * time.Millisecond

// forwardingExecutor sends queries over a stream to a proxy of the member's failure
// domain, which runs them on its own connections. One goroutine uses it at a time.
type forwardingExecutor struct {
	member ctid.Member
	// workspace is the one whose queries the stream carries now; empty for callers without one.
	workspace ctid.Workspace
	stream    ctframe.Stream
	clock     ctclock.Clock
	replies   chan *ctframe.ForwardReply
	closed    chan struct{}
	closeOnce sync.Once

	mutex sync.Mutex
	// stopping reports that the other proxy is about to stop. replyPending reports that
	// a reply is outstanding. The mutex guards both.
	stopping     bool
	replyPending bool
	// peerSilent reports that a reply did not arrive in time. The user's goroutine alone uses it.
	peerSilent bool
	// pathFailed reports that the other proxy could not be reached or gave no reply, so that the
	// last query says nothing about the member. The user's goroutine alone uses it.
	pathFailed bool
	// recordLoad receives the load of a member that a reply states; nil if none is recorded.
	recordLoad func(member ctid.Member, load time.Duration)
	// noConnection reports that the other proxy could open no connection to the member. The
	// user's goroutine alone uses it.
	noConnection bool
	// requests counts the requests, and awaited is the one whose reply has not arrived; 0 if
	// there is none. The mutex guards both, too.
	requests ctframe.RequestNumber
	awaited  ctframe.RequestNumber
}

func newForwardingExecutor(member ctid.Member, stream ctframe.Stream, clock ctclock.Clock) *forwardingExecutor {
	e := &forwardingExecutor{
		member:  member,
		stream:  stream,
		clock:   clock,
		replies: make(chan *ctframe.ForwardReply, 1),
		closed:  make(chan struct{}),
	}
	go e.read()
	return e
}

// read receives replies until the stream ends. It closes the stream on a frame of
// another type, or if a reply does not belong to the outstanding request.
func (e *forwardingExecutor) read() {
	defer e.close()
	for {
		frame, err := e.stream.Read()
		if err != nil {
			return
		}
		reply, ok := frame.(*ctframe.ForwardReply)
		if !ok {
			return
		}
		if reply.Stopping {
			e.update(func() { e.stopping = true })
			continue
		}
		if !e.accept(reply) {
			return
		}
		e.replies <- reply
	}
}

// accept reports whether a reply belongs to the outstanding request. No other one does
// then.
func (e *forwardingExecutor) accept(reply *ctframe.ForwardReply) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	awaited := e.awaited
	e.awaited = 0
	return awaited != 0 && reply.Number == awaited
}

// update runs change while it holds the mutex.
func (e *forwardingExecutor) update(change func()) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	change()
}

func (e *forwardingExecutor) close() {
	e.closeOnce.Do(func() {
		close(e.closed)
		e.stream.Close()
	})
}

// matches always reports true, because each frame carries the session's values.
func (e *forwardingExecutor) matches(*ctdialog.State) bool {
	return true
}

func (e *forwardingExecutor) alive() bool {
	select {
	case <-e.closed:
		return false
	default:
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return !e.stopping && !e.replyPending
}

// unsettled is false: the other proxy settles its connections.
func (e *forwardingExecutor) unsettled() bool {
	return false
}

func (e *forwardingExecutor) settle(Limits) error {
	return nil
}

// holdsLargeState is false: each frame carries the session's values.
func (e *forwardingExecutor) holdsLargeState() bool {
	return false
}

// closedInDoubt is false: the other proxy counts such connections.
func (e *forwardingExecutor) closedInDoubt() bool {
	return false
}

// run sends the query to the other proxy and waits for its reply. If the other proxy
// did not send the query to the member, the answer has the fault ctquery.FaultBusy.
func (e *forwardingExecutor) run(state *ctdialog.State, query ctquery.Query, limits Limits) (ctquery.Answer, error) {
	select {
	case <-e.closed:
		return ctquery.Answer{}, errNotSent()
	default:
	}
	now := e.clock.Now()
	frame := &ctframe.Forward{
		Member:         e.member,
		Query:          ctframe.NewQuery(query),
		AcquireTimeout: max(0, limits.SendDeadline.Sub(now)),
		AnswerTimeout:  limits.Deadline.Sub(now),
		Priority:       limits.Priority.Route,
		Workspace:      e.workspace,

		WorkspacePriority: limits.Priority.Workspace,
		Operation:         limits.Operation,
	}
	if state != nil {
		frame.Parameters = state.Parameters()
		frame.Shape = state.ShapeOf(query.Statement)
	}
	e.update(func() {
		e.replyPending = true
		e.requests++
		e.awaited = e.requests
		frame.Number = e.requests
	})
	e.pathFailed = true
	if err := e.stream.Write(frame); err != nil {
		e.close()
		return ctquery.Answer{}, cterror.Wrap(cterror.Unavailable, err, "send to the carrying proxy", "try another member")
	}
	reply, err := e.awaitReply(limits.Deadline.Add(forwardReplyGrace).Sub(now), limits.Abandoned)
	if err != nil {
		return ctquery.Answer{}, err
	}
	e.pathFailed = false
	e.update(func() { e.replyPending = false })
	if e.recordLoad != nil && reply.Load > 0 {
		e.recordLoad(frame.Member, reply.Load)
	}
	e.noConnection = reply.NoConnection
	return answerFrom(reply)
}

// awaitReply waits for a reply, which may have arrived just before the stream closed, until
// the query is abandoned.
func (e *forwardingExecutor) awaitReply(d time.Duration, abandoned <-chan struct{}) (*ctframe.ForwardReply, error) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case reply := <-e.replies:
		return reply, nil
	case <-e.closed:
		select {
		case reply := <-e.replies:
			return reply, nil
		default:
		}
		return nil, cterror.New(cterror.Unavailable, "the way to the carrying proxy broke", "try another member")
	case <-abandoned:
		return nil, errAbandoned()
	case <-timer.C:
		e.peerSilent = true
		return nil, cterror.New(cterror.Expired, "the carrying proxy did not answer in time", "try another member")
	}
}

// answerFrom converts the other proxy's reply to the answer or error that Conn.Run
// returns.
func answerFrom(reply *ctframe.ForwardReply) (ctquery.Answer, error) {
	switch {
	case reply.Answer != nil:
		return reply.Answer.Answer(), nil
	case reply.RateLimited:
		return ctquery.Answer{}, ErrRateLimited()
	case reply.Refused:
		return ctquery.Answer{
			Fault: ctquery.FaultBusy, Text: "the carrying proxy had no connection in time", RetryAfter: reply.RetryAfter,
		}, nil
	case reply.TimedOut:
		return ctquery.Answer{}, cterror.New(cterror.Expired, "the member did not answer in time", "try another member")
	}
	return ctquery.Answer{}, cterror.New(cterror.Unavailable, "the connection to the member broke", "try another member")
}
