package ctsoak

import (
	"maps"
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstutter"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/platform/ctpeer"
)

// ownerVariable is the session variable that callers set to the name of their session.
const ownerVariable = "owner"

// memberSession is a connection to a member, with its session state. One goroutine runs
// its queries; disconnect may be called from any.
type memberSession struct {
	group  *Group
	member *member
	once   sync.Once
	closed chan struct{}
	// answers sends the answers, some of them twice; nil without a connection.
	answers *ctstutter.Repeater[[]byte]

	values   map[string]string
	prepared map[string]ctpeer.Shape
	// open is nil outside a transaction.
	open *openTransaction
}

// openTransaction is the open transaction of a session.
type openTransaction struct {
	// tx is the transaction that its first statement belongs to, or nil before that
	// statement.
	tx *Transaction
	// term is the member's term when the transaction began.
	term     ctposition.Term
	writable bool
	failed   bool
	writes   []ctquery.ID
}

func newMemberSession(g *Group, m *member) *memberSession {
	return &memberSession{
		group: g, member: m, closed: make(chan struct{}),
		values: make(map[string]string), prepared: make(map[string]ctpeer.Shape),
	}
}

// disconnect ends the session. An open transaction has no effect then. It may be called
// more than once.
func (s *memberSession) disconnect() {
	s.once.Do(func() { close(s.closed) })
}

// run runs a query. It returns false if the answer must not be sent.
func (s *memberSession) run(q ctpeer.Query) (ctpeer.Answer, bool) {
	var answer ctpeer.Answer
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
	answer.Point = s.member.appliedPoint()
	if answered && q.ID != ctpeer.OwnID && s.member.answersToDrop > 0 {
		s.member.answersToDrop--
		answered = false
	}
	return answer, answered
}

// behind reports whether the member has not yet applied its log up to a point.
func (s *memberSession) behind(required ctposition.Point) bool {
	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()
	s.member.applyReceived(time.Now())
	point := s.member.appliedPoint()
	return required.Position > point.Position || required.Term > point.Term
}

// execute runs a statement and fills in its answer. It returns false if the answer must
// not be sent.
func (s *memberSession) execute(q ctpeer.Query, answer *ctpeer.Answer) bool {
	if s.open != nil && s.open.failed {
		s.executeInFailed(q.Statement, answer)
		return true
	}
	switch statement := q.Statement.(type) {
	case ctpeer.Begin:
		s.begin(statement, answer)
	case ctpeer.Rollback:
		s.open = nil
	case ctpeer.Commit:
		return s.commit(q, answer)
	case ctpeer.Read:
		s.read(q, ctpeer.Shape{}, answer)
	case ctpeer.Write:
		return s.write(q, ctpeer.Shape{}, answer)
	case ctpeer.Execute:
		return s.executePrepared(q, statement.Name, answer)
	case ctpeer.Reset, ctpeer.Set, ctpeer.Prepare, ctpeer.Deallocate:
		s.changeState(statement)
	case nil:
		s.group.checker.recordViolation(InvariantOnlySent, "statement %q is %q", q.ID, q.Text)
		answer.Fault = ctquery.FaultMalformed
	default:
		s.executeControl(statement, answer)
	}
	return true
}

// changeState runs a statement that changes the session's state.
func (s *memberSession) changeState(statement ctpeer.Statement) {
	switch st := statement.(type) {
	case ctpeer.Reset:
		s.values, s.prepared = make(map[string]string), make(map[string]ctpeer.Shape)
	case ctpeer.Set:
		s.values[st.Name] = st.Value
	case ctpeer.Prepare:
		s.prepared[st.Name] = st.Shape
	case ctpeer.Deallocate:
		delete(s.prepared, st.Name)
	}
}

// executePrepared runs a prepared statement. It returns false if the answer must not be sent.
func (s *memberSession) executePrepared(q ctpeer.Query, name string, answer *ctpeer.Answer) bool {
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

// executeInFailed runs a statement in a failed transaction. Only Commit and Rollback are
// accepted, and both roll the transaction back.
func (s *memberSession) executeInFailed(statement ctpeer.Statement, answer *ctpeer.Answer) {
	switch statement.(type) {
	case ctpeer.Rollback:
		s.open = nil
	case ctpeer.Commit:
		s.open = nil
		answer.Fault = ctquery.FaultAborted
	default:
		answer.Fault = ctquery.FaultMalformed
	}
}

// executeControl runs the control commands: pause, resume, step down and read status.
func (s *memberSession) executeControl(statement ctpeer.Statement, answer *ctpeer.Answer) {
	g, m := s.group, s.member
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch c := statement.(type) {
	case ctpeer.Pause:
		if !m.primary && c.Term > m.term {
			m.pausedBelow = c.Term
		}
	case ctpeer.Resume:
		m.pausedBelow = 0
	case ctpeer.StepDown:
		if m.primary && m.term < c.Term {
			m.primary = false
			g.notifyChange()
		}
	case ctpeer.ReadStatus:
	default:
		answer.Fault = ctquery.FaultMalformed
		return
	}
	status := ctquery.Status{
		Role: ctserver.RoleReplica, Term: m.term, Received: pointOf(m.log, len(m.log)), PausedBelow: m.pausedBelow,
		ApplyLag: m.applyLag, BusySlots: len(m.slots), OpenConnections: len(m.sessions),
	}
	if m.primary {
		status.Role = ctserver.RolePrimary
	}
	answer.Rows = []string{ctpeer.FormatStatus(status)}
}

// begin opens a transaction. Only a primary accepts one that may write.
func (s *memberSession) begin(statement ctpeer.Begin, answer *ctpeer.Answer) {
	term, primary := s.primaryTerm()
	switch {
	case s.open != nil:
		s.group.checker.recordViolation(InvariantIsolation, "a transaction was begun inside another one")
	case !statement.ReadOnly && !primary:
		answer.Fault = ctquery.FaultReadOnly
	default:
		s.open = &openTransaction{term: term, writable: !statement.ReadOnly}
	}
}

// primaryTerm returns the member's term and whether the member is a primary.
func (s *memberSession) primaryTerm() (ctposition.Term, bool) {
	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()
	return s.member.term, s.member.primary
}

// primaryChanged reports whether the open transaction may write but the member is no longer
// the primary of the term in which the transaction began.
func (s *memberSession) primaryChanged() bool {
	term, primary := s.primaryTerm()
	return s.open != nil && s.open.writable && (!primary || term != s.open.term)
}

// useSlot waits for a slot and occupies it for the duration of a statement. It returns
// false with FaultBusy if the queue is full, and false without a fault if the session has
// ended.
func (s *memberSession) useSlot(answer *ctpeer.Answer) bool {
	g, m := s.group, s.member
	g.mutex.Lock()
	duration, slots := m.statementDuration, m.slots
	full := m.queued >= maxQueued
	if !full {
		m.queued++
	}
	g.mutex.Unlock()
	if full {
		answer.Fault = ctquery.FaultBusy
		return false
	}
	acquired := false
	select {
	case slots <- struct{}{}:
		acquired = true
	case <-s.closed:
	}
	g.mutex.Lock()
	m.queued--
	g.mutex.Unlock()
	if acquired {
		time.Sleep(duration)
		<-slots
	}
	return acquired
}

// admit waits for a slot, occupies it for the duration of a statement and checks that the
// statement belongs to this session and its open transaction. It returns false if the
// statement must not run. The transaction is nil if no caller sent the statement.
func (s *memberSession) admit(q ctpeer.Query, shape ctpeer.Shape, answer *ctpeer.Answer) (*Transaction, bool) {
	if s.primaryChanged() {
		answer.Fault = ctquery.FaultReadOnly
		return nil, false
	}
	if !s.useSlot(answer) {
		return nil, false
	}
	tx := s.group.checker.recordStart(s, q, shape)
	if tx == nil {
		return nil, true
	}
	switch {
	case tx.explicit && s.open == nil:
		s.group.checker.recordViolation(InvariantIsolation, "statement %s of a transaction ran outside of any", q.ID)
	case !tx.explicit && s.open != nil:
		s.group.checker.recordViolation(InvariantIsolation, "statement %s ran inside a transaction", q.ID)
	case s.open != nil && s.open.tx == nil:
		s.open.tx = tx
	case s.open != nil && s.open.tx != tx:
		s.group.checker.recordViolation(InvariantIsolation, "statement %s ran inside another transaction", q.ID)
	}
	if !maps.Equal(s.values, tx.sessionValues()) {
		s.group.checker.recordViolation(InvariantIsolation, "statement %s of session %s ran with the values %q instead of %q",
			q.ID, tx.session, s.values, tx.sessionValues())
	}
	return tx, true
}

// read runs a read.
func (s *memberSession) read(q ctpeer.Query, shape ctpeer.Shape, answer *ctpeer.Answer) {
	if _, ok := s.admit(q, shape, answer); !ok || s.injectFailure(answer) {
		return
	}
	s.group.mutex.Lock()
	s.member.applyReceived(time.Now())
	visible := s.member.log[:s.member.applied:s.member.applied]
	s.group.mutex.Unlock()
	s.group.checker.recordRows(q.ID, answer, visible)
}

// injectFailure makes the answer of a statement that ran a failure if the member's injected
// faults say so, and reports whether it did.
func (s *memberSession) injectFailure(answer *ctpeer.Answer) bool {
	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()
	if s.member.failuresPerTen > 0 && time.Now().UnixNano()%10 < int64(s.member.failuresPerTen) {
		answer.Fault = ctquery.FaultFailed
		return true
	}
	return false
}

// write runs a write. Outside a transaction it commits at once. It returns false if the
// answer must not be sent.
func (s *memberSession) write(q ctpeer.Query, shape ctpeer.Shape, answer *ctpeer.Answer) bool {
	if _, primary := s.primaryTerm(); !primary || (s.open != nil && !s.open.writable) {
		answer.Fault = ctquery.FaultReadOnly
		return true
	}
	tx, ok := s.admit(q, shape, answer)
	if !ok || tx == nil {
		return true
	}
	if s.open != nil {
		s.open.writes = append(s.open.writes, q.ID)
		if !s.injectFailure(answer) {
			answer.Proof = s.group.checker.recordResult(q.ID, nil, nil)
		}
		return true
	}
	term, _ := s.primaryTerm()
	return s.append(q.ID, tx, []ctquery.ID{q.ID}, term, answer)
}

// commit ends the open transaction and appends its writes to the log. It returns false if
// the answer must not be sent.
func (s *memberSession) commit(q ctpeer.Query, answer *ctpeer.Answer) bool {
	if s.open == nil {
		s.group.checker.recordViolation(InvariantIsolation, "commit %s ran outside a transaction", q.ID)
		return true
	}
	if len(s.open.writes) == 0 {
		if s.useSlot(answer) {
			answer.Proof = s.group.checker.recordResult(q.ID, nil, nil)
			s.open = nil
		}
		return true
	}
	tx, ok := s.admit(q, ctpeer.Shape{}, answer)
	if !ok || tx == nil {
		return true
	}
	if !tx.commitRequested {
		s.group.checker.recordViolation(InvariantOnlySent, "commit %s was not requested by the caller", q.ID)
	}
	writes, term := s.open.writes, s.open.term
	s.open = nil
	return s.append(q.ID, tx, writes, term, answer)
}

// append appends a commit to the log and waits until a replica has received it. It returns
// false if the answer must not be sent: the outcome is unknown because the member crashed, is no
// longer the primary of the term, or the session ended.
func (s *memberSession) append(
	id ctquery.ID, tx *Transaction, writes []ctquery.ID, term ctposition.Term, answer *ctpeer.Answer,
) bool {
	g, m := s.group, s.member
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !m.running || !m.primary || m.term != term {
		answer.Fault = ctquery.FaultReadOnly
		return m.running
	}
	e := entryID{term: m.term, number: len(m.log) + 1}
	m.log = append(m.log, record{entryID: e, commit: id, tx: tx, writes: writes})
	g.checker.recordCommitted(g.name, tx)
	m.receivedAt = append(m.receivedAt, time.Now())
	m.applied = len(m.log)
	g.notifyChange()
	for !g.replicated(m, e) {
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
	visible := m.log[:e.number:e.number]
	answer.Proof = g.checker.recordResult(id, nil, visible)
	return true
}
