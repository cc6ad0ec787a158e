package ctpools

import (
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// rollbackTimeout bounds the rollback of a transaction that is open when its stream
// ends.
const rollbackTimeout = time.Second

// servedStreams holds the streams over which this proxy forwards queries for others.
type servedStreams struct {
	mutex    sync.Mutex
	open     map[ctframe.Stream]struct{}
	stopping bool
}

// add registers a stream and reports whether this proxy is about to stop.
func (s *servedStreams) add(stream ctframe.Stream) (stopping bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.open == nil {
		s.open = make(map[ctframe.Stream]struct{})
	}
	s.open[stream] = struct{}{}
	return s.stopping
}

func (s *servedStreams) remove(stream ctframe.Stream) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.open, stream)
}

// notifyStopping notifies the proxies at the other ends to send no more queries. For a
// stream that is added later, the result of add says that it needs the notice.
func (s *servedStreams) notifyStopping() {
	s.mutex.Lock()
	s.stopping = true
	open := make([]ctframe.Stream, 0, len(s.open))
	for stream := range s.open {
		open = append(open, stream)
	}
	s.mutex.Unlock()
	for _, stream := range open {
		_ = stream.Write(&ctframe.ForwardReply{Stopping: true})
	}
}

// NotifyStopping notifies the proxies for which this one forwards queries that it is
// about to stop. Queries that they have sent already are still forwarded.
func (p *Pools) NotifyStopping() {
	p.served.notifyStopping()
}

// ForwardedConnections returns how many of this proxy's connections are in use for
// queries of other proxies.
func (p *Pools) ForwardedConnections() int {
	return int(p.forwardedCount.Load())
}

// AnsweringForwarded returns how many queries of other proxies this one has read and not
// answered yet.
func (p *Pools) AnsweringForwarded() int {
	return int(p.answeringCount.Load())
}

// ServeForwarded runs the queries that another proxy sends over a stream on this
// proxy's own connections. The first one has been read already. ServeForwarded returns
// when the stream ends or brings a frame of another type.
func (p *Pools) ServeForwarded(stream ctframe.Stream, first *ctframe.Forward) {
	if p.served.add(stream) {
		_ = stream.Write(&ctframe.ForwardReply{Stopping: true})
	}
	defer p.served.remove(stream)
	s := &forwardServer{pools: p}
	defer s.rollBackOpen()
	for frame := first; ; {
		if s.answer(stream, frame) != nil {
			return
		}
		next, err := stream.Read()
		if err != nil {
			return
		}
		var ok bool
		if frame, ok = next.(*ctframe.Forward); !ok {
			return
		}
	}
}

// forwardServer runs the queries that arrive over one stream.
type forwardServer struct {
	pools *Pools
	held  ctlock.Held
	// conn is the connection of an open transaction, or nil.
	conn *Conn
}

// answer runs one query and writes the reply.
func (s *forwardServer) answer(stream ctframe.Stream, frame *ctframe.Forward) error {
	s.pools.answeringCount.Add(1)
	defer s.pools.answeringCount.Add(-1)
	reply := s.serve(frame)
	reply.Number = frame.Number
	reply.Load = s.pools.loadOf(&s.held, frame.Member)
	return stream.Write(reply)
}

// serve runs one query and returns the reply for the other proxy. The connection stays
// acquired while a transaction is open.
func (s *forwardServer) serve(frame *ctframe.Forward) *ctframe.ForwardReply {
	now := s.pools.Clock.Now()
	if s.refusedByStop(frame) {
		s.log(frame, "planned_stop", now)
		return s.abort()
	}
	state := stateOf(frame)
	inTransaction := s.conn != nil
	if !inTransaction {
		if err := s.acquire(frame, state, now); err != nil {
			s.log(frame, "refused_"+cterror.KindOf(err).String(), now)
			return s.refusal(cterror.KindOf(err), frame, state, now)
		}
	}
	sentAt := s.pools.Clock.Now()
	limits := Limits{Deadline: now.Add(frame.AnswerTimeout), Abandoned: s.pools.Stop.Abandoned()}
	answer, err := s.conn.Run(state, frame.Query.Query(), limits)
	s.pools.RecordOutcome(&s.held, s.conn, state, frame.Query.Statement(), answer, err)
	if cterror.KindOf(err) == cterror.Invalid {
		s.log(frame, ctquery.FaultTooLarge.String(), now)
		return s.refuseTooLarge(inTransaction)
	}
	if err != nil {
		s.release(Result{Discard: true, NotRun: cterror.KindOf(err) == cterror.Exhausted})
		if cterror.KindOf(err) == cterror.Exhausted {
			s.log(frame, "not_sent", now)
			return &ctframe.ForwardReply{Refused: true}
		}
		s.log(frame, "lost", now)
		return &ctframe.ForwardReply{Unanswered: true, TimedOut: cterror.KindOf(err) == cterror.Expired}
	}
	result := Result{
		Answered: true, Applied: answer.Point, Discard: answer.Fault == ctquery.FaultNoStatement,
		NotRun: !inTransaction && answer.Fault.NotRun(),
	}
	if answer.OK() {
		result.Latency = s.pools.Clock.Now().Sub(sentAt)
	}
	if answer.Transaction == ctquery.TransactionNone {
		s.release(result)
	} else {
		s.pools.RecordResult(&s.held, s.conn.Member, result)
	}
	s.log(frame, answer.Fault.String(), now)
	return &ctframe.ForwardReply{Answer: ctframe.NewQueryAnswer(answer)}
}

// refusal returns the reply to a query for which acquire returned an error of the given kind.
func (s *forwardServer) refusal(
	kind cterror.Kind, frame *ctframe.Forward, state *ctdialog.State, now time.Time,
) *ctframe.ForwardReply {
	reply := &ctframe.ForwardReply{
		Refused: true, RateLimited: kind == cterror.RateLimited, NoConnection: kind == cterror.Unavailable,
	}
	if kind == cterror.Exhausted {
		reply.RetryAfter = s.pools.ExpectedWait(&s.held, frame.Member, s.options(frame, state, now))
	}
	return reply
}

// refuseTooLarge returns the reply to a query that can't be sent on any connection. The
// connection stays acquired if its transaction is open.
func (s *forwardServer) refuseTooLarge(inTransaction bool) *ctframe.ForwardReply {
	answer := TooLarge()
	if inTransaction {
		answer.Transaction = ctquery.TransactionOpen
	} else {
		s.release(Result{NotRun: true})
	}
	return &ctframe.ForwardReply{Answer: ctframe.NewQueryAnswer(answer)}
}

// refusedByStop reports whether the planned stop of this proxy has come too far for a query:
// for all once queries are abandoned, and before that for statements that don't end their
// transaction.
func (s *forwardServer) refusedByStop(frame *ctframe.Forward) bool {
	if s.pools.Stop.QueriesAbandoned() {
		return true
	}
	if s.conn == nil || !s.pools.Stop.TransactionsEnding() {
		return false
	}
	switch frame.Query.Statement().(type) {
	case ctquery.Commit, ctquery.Rollback:
		return false
	}
	return true
}

// abort returns the reply to a query that wasn't sent. It closes the connection of the open
// transaction, which rolls the transaction back.
func (s *forwardServer) abort() *ctframe.ForwardReply {
	if s.conn == nil {
		return &ctframe.ForwardReply{Refused: true}
	}
	s.release(Result{Discard: true})
	return &ctframe.ForwardReply{Answer: ctframe.NewQueryAnswer(ctquery.Answer{
		Fault: ctquery.FaultAborted, Text: "the carrying proxy is about to stop; nothing is kept",
	})}
}

// log writes the log line of a forwarded query.
func (s *forwardServer) log(frame *ctframe.Forward, outcome string, startedAt time.Time) {
	ctlog.Decision(&s.pools.Logger, "carry").
		Str("request", frame.Query.ID.ForLog()).
		Str("member", string(frame.Member)).
		Str("workspace", string(frame.Workspace)).
		Str("outcome", outcome).
		Dur("took", s.pools.Clock.Now().Sub(startedAt)).
		Send()
}

// stateOf returns the session's state from a frame, or nil if the statement depends on
// none.
func stateOf(frame *ctframe.Forward) *ctdialog.State {
	switch frame.Query.Statement().(type) {
	case ctquery.Rollback, ctquery.ReadStatus:
		return nil
	}
	return ctdialog.NewState(frame.Parameters, frame.Shape)
}

// acquire acquires one of this proxy's own connections. It returns the errors of
// Pools.Acquire.
func (s *forwardServer) acquire(frame *ctframe.Forward, state *ctdialog.State, now time.Time) error {
	options := s.options(frame, state, now)
	s.pools.awaitMembers(options.Deadline)
	if !s.pools.OwnsConnections(&s.held, frame.Member) {
		return cterror.New(cterror.Conflict, "this proxy has no connections to the member", "use another proxy")
	}
	conn, err := s.pools.acquireOwn(&s.held, frame.Member, options)
	if err != nil {
		return err
	}
	s.conn = conn
	s.pools.forwardedCount.Add(1)
	return nil
}

// options returns how a forwarded query waits for a connection.
func (s *forwardServer) options(frame *ctframe.Forward, state *ctdialog.State, now time.Time) AcquireOptions {
	_, isStatus := frame.Query.Statement().(ctquery.ReadStatus)
	return AcquireOptions{
		State:        state,
		Workspace:    frame.Workspace,
		AnyWorkspace: isStatus,
		Operation:    frame.Operation && !isStatus,
		Priority:     Priority{Route: frame.Priority, Workspace: frame.WorkspacePriority},
		Deadline:     now.Add(min(frame.AcquireTimeout, frame.AnswerTimeout)),
	}
}

// awaitMembers waits, until deadline, for the first view that has members. Other proxies may send
// queries to one that has just started before it has received its view.
func (p *Pools) awaitMembers(deadline time.Time) {
	select {
	case <-p.membersKnown:
		return
	default:
	}
	select {
	case <-p.membersKnown:
	case <-p.Clock.After(deadline.Sub(p.Clock.Now())):
	case <-p.Stop.Abandoned():
	}
}

// release returns the connection to the pools.
func (s *forwardServer) release(result Result) {
	s.pools.Release(&s.held, s.conn, result)
	s.pools.forwardedCount.Add(-1)
	s.conn = nil
}

// rollBackOpen rolls back a transaction that is still open when the stream ends. It
// discards the connection if the rollback fails.
func (s *forwardServer) rollBackOpen() {
	if s.conn == nil {
		return
	}
	result := Result{Discard: true}
	if s.conn.Alive() {
		rollback := ctquery.Query{Statement: ctquery.Rollback{}}
		limits := Limits{Deadline: s.pools.Clock.Now().Add(rollbackTimeout)}
		answer, err := s.conn.Run(nil, rollback, limits)
		result.Discard = err != nil || answer.Transaction != ctquery.TransactionNone
	}
	s.release(result)
}
