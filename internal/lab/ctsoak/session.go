package ctsoak

import (
	"fmt"
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/platform"
)

// ownerValue is the session value by which callers name their session.
const ownerValue = "owner"

// session is a connection to a member.
type session struct {
	group  *Group
	member *member
	once   sync.Once
	closed chan struct{}

	values   map[string]string
	prepared map[string]ctquery.Shape
	open     *openTransaction
}

// openTransaction is an open transaction of a member.
type openTransaction struct {
	// block is that of the first statement that ran in it.
	block  *Transaction
	term   ctposition.Term
	plain  bool
	failed bool
	writes []ctquery.ID
}

func newSession(g *Group, m *member) *session {
	return &session{
		group: g, member: m, closed: make(chan struct{}),
		values: make(map[string]string), prepared: make(map[string]ctquery.Shape),
	}
}

// cut ends the session; an open transaction rolls back.
func (s *session) cut() {
	s.once.Do(func() { close(s.closed) })
}

// run runs a query, and reports false where its answer goes missing.
func (s *session) run(q ctquery.Query) (ctquery.Answer, bool) {
	var answer ctquery.Answer
	answered := true
	if s.behind(q.MinPoint) {
		answer.Fault = ctquery.FaultBehind
	} else {
		answered = s.execute(q, &answer)
	}
	if s.open != nil {
		answer.Transaction = ctquery.TransactionOpen
		if !answer.OK() {
			s.open.failed = true
		}
		if s.open.failed {
			answer.Transaction = ctquery.TransactionFailed
		}
	}
	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()
	answer.Point = s.member.point()
	if answered && q.ID != "" && s.member.lose > 0 {
		s.member.lose--
		answered = false
	}
	return answer, answered
}

// behind reports whether the member's log lacks a point.
func (s *session) behind(need ctposition.Point) bool {
	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()
	s.member.apply(time.Now())
	point := s.member.point()
	return need.Position > point.Position || need.Term > point.Term
}

func (s *session) execute(q ctquery.Query, answer *ctquery.Answer) bool {
	if s.open != nil && s.open.failed {
		s.endFailed(q.Statement, answer)
		return true
	}
	switch statement := q.Statement.(type) {
	case ctquery.Begin:
		s.begin(statement, answer)
	case ctquery.Rollback:
		s.open = nil
	case ctquery.Commit:
		return s.commit(q, answer)
	case ctquery.Read:
		s.read(q, ctquery.Shape{}, answer)
	case ctquery.Write:
		return s.write(q, ctquery.Shape{}, answer)
	case ctquery.Execute:
		return s.executePrepared(q, statement.Name, answer)
	case ctquery.Reset, ctquery.Set, ctquery.Prepare, ctquery.Deallocate:
		s.keep(statement)
	default:
		s.control(statement, answer)
	}
	return true
}

// keep changes the session's own state.
func (s *session) keep(statement ctquery.Statement) {
	switch k := statement.(type) {
	case ctquery.Reset:
		s.values, s.prepared = make(map[string]string), make(map[string]ctquery.Shape)
	case ctquery.Set:
		s.values[k.Name] = k.Value
	case ctquery.Prepare:
		s.prepared[k.Name] = k.Shape
	case ctquery.Deallocate:
		delete(s.prepared, k.Name)
	}
}

// executePrepared runs a prepared statement.
func (s *session) executePrepared(q ctquery.Query, name string, answer *ctquery.Answer) bool {
	shape, ok := s.prepared[name]
	switch {
	case !ok:
		answer.Fault = ctquery.FaultNoStatement
	case shape.Writes:
		return s.write(q, shape, answer)
	default:
		s.read(q, shape, answer)
	}
	return true
}

// endFailed answers a statement after the transaction has failed: only its end is
// accepted.
func (s *session) endFailed(statement ctquery.Statement, answer *ctquery.Answer) {
	switch statement.(type) {
	case ctquery.Rollback:
		s.open = nil
	case ctquery.Commit:
		s.open = nil
		answer.Fault = ctquery.FaultAborted
	default:
		answer.Fault = ctquery.FaultMalformed
	}
}

// control answers statements by which the system rules a member.
func (s *session) control(statement ctquery.Statement, answer *ctquery.Answer) {
	g, m := s.group, s.member
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch c := statement.(type) {
	case ctquery.Pause:
		if !m.primary && c.Term > m.term {
			m.paused = c.Term
		}
	case ctquery.Resume:
		m.paused = 0
	case ctquery.StepDown:
		if m.primary && m.term < c.Term {
			m.primary = false
			g.tell()
		}
	case ctquery.ReadStatus:
	default:
		answer.Fault = ctquery.FaultMalformed
		return
	}
	status := ctquery.Status{
		Role: ctserver.RoleReplica, Term: m.term, Received: pointOf(m.log, len(m.log)), PausedBelow: m.paused,
		ApplyLag: m.lag, BusySlots: len(m.slots), OpenConnections: len(m.sessions),
	}
	if m.primary {
		status.Role = ctserver.RolePrimary
	}
	answer.Rows = []string{platform.RenderStatus(status)}
}

func (s *session) begin(statement ctquery.Begin, answer *ctquery.Answer) {
	term, primary := s.lead()
	switch {
	case s.open != nil:
		s.group.judge.breach(InvariantIsolation, "a transaction was begun inside another one")
	case !statement.ReadOnly && !primary:
		answer.Fault = ctquery.FaultReadOnly
	default:
		s.open = &openTransaction{term: term, plain: !statement.ReadOnly}
	}
}

func (s *session) lead() (ctposition.Term, bool) {
	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()
	return s.member.term, s.member.primary
}

// lost reports whether the open transaction's member has lost the lead.
func (s *session) lost() bool {
	term, primary := s.lead()
	return s.open != nil && s.open.plain && (!primary || term != s.open.term)
}

// occupy waits for a slot and works there. It reports false with a fault where the
// queue is full, and where the session was cut.
func (s *session) occupy(answer *ctquery.Answer) bool {
	g, m := s.group, s.member
	g.mutex.Lock()
	work, slots := m.work, m.slots
	full := m.waiting >= queueRoom
	if !full {
		m.waiting++
	}
	g.mutex.Unlock()
	if full {
		answer.Fault = ctquery.FaultBusy
		return false
	}
	took := false
	select {
	case slots <- struct{}{}:
		took = true
	case <-s.closed:
	}
	g.mutex.Lock()
	m.waiting--
	g.mutex.Unlock()
	if took {
		time.Sleep(work)
		<-slots
	}
	return took
}

// admit checks that a statement may run here, and occupies a slot for it.
func (s *session) admit(q ctquery.Query, shape ctquery.Shape, answer *ctquery.Answer) (*Transaction, bool) {
	if s.lost() {
		answer.Fault = ctquery.FaultReadOnly
		return nil, false
	}
	if !s.occupy(answer) {
		return nil, false
	}
	block := s.group.judge.begins(q, shape)
	if block == nil {
		return nil, true
	}
	switch {
	case block.transaction && s.open == nil:
		s.group.judge.breach(InvariantIsolation, "statement %s of a transaction ran outside of any", q.ID)
	case !block.transaction && s.open != nil:
		s.group.judge.breach(InvariantIsolation, "statement %s ran inside a transaction", q.ID)
	case s.open != nil && s.open.block == nil:
		s.open.block = block
	case s.open != nil && s.open.block != block:
		s.group.judge.breach(InvariantIsolation, "statement %s ran inside another transaction", q.ID)
	}
	if owner := s.values[ownerValue]; owner != block.session {
		s.group.judge.breach(InvariantIsolation, "statement %s of session %s ran with the values of %q",
			q.ID, block.session, owner)
	}
	return block, true
}

func (s *session) read(q ctquery.Query, shape ctquery.Shape, answer *ctquery.Answer) {
	if _, ok := s.admit(q, shape, answer); !ok || s.fails(answer) {
		return
	}
	s.group.mutex.Lock()
	s.member.apply(time.Now())
	shown := s.member.log[:s.member.applied:s.member.applied]
	s.group.mutex.Unlock()
	answer.Rows = []string{fmt.Sprintf("%s.%d", q.ID, len(shown))}
	answer.Proof = s.group.judge.ends(q.ID, answer.Rows, shown)
}

// fails reports whether a statement that ran is told as failed, by a member that
// fails in part.
func (s *session) fails(answer *ctquery.Answer) bool {
	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()
	if s.member.failing > 0 && time.Now().UnixNano()%10 < int64(s.member.failing) {
		answer.Fault = ctquery.FaultFailed
		return true
	}
	return false
}

func (s *session) write(q ctquery.Query, shape ctquery.Shape, answer *ctquery.Answer) bool {
	if _, primary := s.lead(); !primary || (s.open != nil && !s.open.plain) {
		answer.Fault = ctquery.FaultReadOnly
		return true
	}
	block, ok := s.admit(q, shape, answer)
	if !ok || block == nil {
		return true
	}
	if s.open != nil {
		s.open.writes = append(s.open.writes, q.ID)
		if !s.fails(answer) {
			answer.Proof = s.group.judge.ends(q.ID, nil, nil)
		}
		return true
	}
	term, _ := s.lead()
	return s.append(q.ID, block, []ctquery.ID{q.ID}, term, answer)
}

func (s *session) commit(q ctquery.Query, answer *ctquery.Answer) bool {
	if s.open == nil {
		s.group.judge.breach(InvariantIsolation, "commit %s came outside a transaction", q.ID)
		return true
	}
	if len(s.open.writes) == 0 {
		if s.occupy(answer) {
			answer.Proof = s.group.judge.ends(q.ID, nil, nil)
			s.open = nil
		}
		return true
	}
	block, ok := s.admit(q, ctquery.Shape{}, answer)
	if !ok || block == nil {
		return true
	}
	if !block.asked {
		s.group.judge.breach(InvariantOnlySent, "commit %s was not asked for", q.ID)
	}
	writes, term := s.open.writes, s.open.term
	s.open = nil
	return s.append(q.ID, block, writes, term, answer)
}

// append adds a commit to the log and waits until a replica has it. It reports false
// where the answer stays open: the member lost the lead or crashed meanwhile.
func (s *session) append(
	id ctquery.ID, block *Transaction, writes []ctquery.ID, term ctposition.Term, answer *ctquery.Answer,
) bool {
	g, m := s.group, s.member
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !m.running || !m.primary || m.term != term {
		answer.Fault = ctquery.FaultReadOnly
		return m.running
	}
	e := entry{term: m.term, number: len(m.log) + 1}
	m.log = append(m.log, record{entry: e, commit: id, block: block, writes: writes})
	m.arrivals = append(m.arrivals, time.Now())
	m.applied = len(m.log)
	g.tell()
	for !g.confirmed(m, e) {
		if !m.running || !m.primary || m.term != term {
			return false
		}
		changed := g.changed
		g.mutex.Unlock()
		select {
		case <-changed:
		case <-s.closed:
		}
		g.mutex.Lock()
		select {
		case <-s.closed:
			return false
		default:
		}
	}
	shown := m.log[:e.number:e.number]
	answer.Proof = g.judge.ends(id, nil, shown)
	return true
}
