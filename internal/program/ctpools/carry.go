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

// rollbackTimeout bounds the rollback of what a way left open.
const rollbackTimeout = time.Second

// servedStreams holds the ways over which other proxies have queries carried.
type servedStreams struct {
	mutex    sync.Mutex
	open     map[ctframe.Stream]struct{}
	stopping bool
}

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

// notifyStopping tells the other proxies to send nothing more.
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

// NotifyStopping tells the proxies for which this one carries queries that it is to stop.
// What they have sent already is still carried.
func (p *Pools) NotifyStopping() {
	p.served.notifyStopping()
}

// ForwardedConnections returns how many connections are lent out for other proxies.
func (p *Pools) ForwardedConnections() int {
	return int(p.forwardedCount.Load())
}

// ServeForwarded runs the queries that another proxy sends over a way, beginning with the
// first one, on this proxy's own connections.
func (p *Pools) ServeForwarded(stream ctframe.Stream, first *ctframe.Forward) {
	if p.served.add(stream) {
		_ = stream.Write(&ctframe.ForwardReply{Stopping: true})
	}
	defer p.served.remove(stream)
	s := &forwardServer{pools: p}
	defer s.rollBackOpen()
	for frame := first; ; {
		if stream.Write(s.serve(frame)) != nil {
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

// forwardServer carries the queries of one way.
type forwardServer struct {
	pools *Pools
	held  ctlock.Held
	// conn is the connection of an open transaction, or nil.
	conn *Conn
}

// serve runs one query.
func (s *forwardServer) serve(frame *ctframe.Forward) *ctframe.ForwardReply {
	now := s.pools.Clock.Now()
	state := stateOf(frame)
	if s.conn == nil && !s.acquire(frame, state, now) {
		s.log(frame, "refused", now)
		return &ctframe.ForwardReply{Refused: true}
	}
	sentAt := s.pools.Clock.Now()
	limits := Limits{Deadline: now.Add(frame.AnswerTimeout)}
	answer, err := s.conn.Run(state, frame.Query.Query(), limits)
	if err != nil {
		s.release(Result{Discard: true})
		s.log(frame, "lost", now)
		return &ctframe.ForwardReply{Unanswered: true, TimedOut: cterror.KindOf(err) == cterror.Expired}
	}
	result := Result{Answered: true, Applied: answer.Point, Discard: answer.Fault == ctquery.FaultNoStatement}
	if answer.OK() {
		result.Latency = s.pools.Clock.Now().Sub(sentAt)
	}
	if answer.Transaction == ctquery.TransactionNone {
		s.release(result)
	} else {
		s.pools.RecordResult(&s.held, s.conn.Member, result)
	}
	s.log(frame, answer.Fault.String(), now)
	return &ctframe.ForwardReply{Answer: &answer}
}

// log writes the line of a query that was carried for another proxy.
func (s *forwardServer) log(frame *ctframe.Forward, outcome string, startedAt time.Time) {
	ctlog.Decision(&s.pools.Logger, "carry").
		Str("request", string(frame.Query.ID)).
		Str("member", string(frame.Member)).
		Str("outcome", outcome).
		Dur("took", s.pools.Clock.Now().Sub(startedAt)).
		Send()
}

// stateOf returns the session's state that a frame carries, or nil where the
// statement concerns none.
func stateOf(frame *ctframe.Forward) *ctdialog.State {
	switch frame.Query.Statement().(type) {
	case ctquery.Rollback, ctquery.ReadStatus:
		return nil
	}
	return ctdialog.NewState(frame.Parameters, frame.Shape)
}

// acquire borrows one of this proxy's own connections.
func (s *forwardServer) acquire(frame *ctframe.Forward, state *ctdialog.State, now time.Time) bool {
	if !s.pools.OwnsConnections(&s.held, frame.Member) {
		return false
	}
	options := AcquireOptions{
		State: state, Priority: frame.Priority, Deadline: now.Add(min(frame.AcquireTimeout, frame.AnswerTimeout)),
	}
	conn, err := s.pools.Acquire(&s.held, frame.Member, options)
	if err != nil {
		return false
	}
	s.conn = conn
	s.pools.forwardedCount.Add(1)
	return true
}

func (s *forwardServer) release(result Result) {
	s.pools.Release(&s.held, s.conn, result)
	s.pools.forwardedCount.Add(-1)
	s.conn = nil
}

// rollBackOpen rolls back what the way left open.
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
