package ctheldlink

import (
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstutter"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/platform/ctpeer"
)

// session is a connection to a member. One goroutine uses it.
type session struct {
	member *Member
	// open, readOnly and writes describe the open transaction.
	open, readOnly bool
	writes         []ctquery.ID
	// values and prepared are the session's state.
	values   map[string]string
	prepared map[string]ctpeer.Shape
	// transaction is the last transaction that a caller began here. The Judge's mutex guards
	// it.
	transaction *transaction
}

// serve accepts connections for a member until the listener is closed.
func (m *Member) serve(listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		go m.serveConnection(socket)
	}
}

// serveConnection serves one connection until it ends.
func (m *Member) serveConnection(socket net.Conn) {
	defer func() { _ = socket.Close() }()
	conn := ctpeer.Accept(socket)
	startup, err := conn.ReadStartup()
	if err != nil {
		return
	}
	point, ok := m.addSocket(socket)
	defer m.removeSocket(socket)
	if !ok || startup.Group != groupName || (startup.Member != "" && startup.Member != m.Name) {
		_ = conn.Write(ctpeer.AppendRefusal(nil, ctquery.FaultWrongMember, string(m.Name)))
		return
	}
	answers := ctstutter.Repeater[[]byte]{Plan: m.group.stutter, Send: conn.Write}
	defer answers.Close()
	if answers.Answer(ctpeer.AppendReady(nil, ctquery.TransactionNone, point)) != nil {
		return
	}
	s := newSession(m)
	for {
		q, err := conn.ReadQuery()
		if err != nil {
			m.group.judge.check(!errors.Is(err, ctpeer.ErrMalformed), RuleUnasked, "%s receives %v", m.Name, err)
			return
		}
		answer, answered := s.run(q)
		if !answered || answers.Answer(ctpeer.AppendAnswer(nil, answer)) != nil {
			return
		}
	}
}

func newSession(m *Member) *session {
	return &session{member: m, values: make(map[string]string), prepared: make(map[string]ctpeer.Shape)}
}

// addSocket records an open connection and returns the member's point. It returns false if
// the member does not run.
func (m *Member) addSocket(socket net.Conn) (ctposition.Point, bool) {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	if m.running {
		m.sockets[socket] = struct{}{}
	}
	return m.pointOf(m.applied), m.running
}

// removeSocket removes a connection that has ended.
func (m *Member) removeSocket(socket net.Conn) {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	delete(m.sockets, socket)
}

// run runs a query. It returns false if the connection must end without an answer.
func (s *session) run(q ctpeer.Query) (ctpeer.Answer, bool) {
	var answer ctpeer.Answer
	answered := true
	if s.behind(q.MinPoint) {
		answer.Fault = ctquery.FaultBehind
	} else {
		answered = s.execute(q, &answer)
	}
	if answer.OK() {
		s.prove(q, &answer)
	}
	if s.open {
		answer.Transaction = ctquery.TransactionOpen
	}
	s.member.group.mutex.Lock()
	defer s.member.group.mutex.Unlock()
	answer.Point = s.member.pointOf(s.member.applied)
	return answer, answered && s.member.running
}

// prove adds the rows of a read, and the proof of a read, a write or a commit.
func (s *session) prove(q ctpeer.Query, answer *ctpeer.Answer) {
	switch statement := q.Statement.(type) {
	case ctpeer.Read:
		s.member.group.judge.recordResult(s.member.Name, q.ID, answer, true)
	case ctpeer.Execute:
		s.member.group.judge.recordResult(s.member.Name, q.ID, answer, !s.prepared[statement.Name].Writes)
	case ctpeer.Write, ctpeer.Commit:
		s.member.group.judge.recordResult(s.member.Name, q.ID, answer, false)
	}
}

// behind reports whether the member has not applied its log up to a point.
func (s *session) behind(required ctposition.Point) bool {
	m := s.member
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	m.apply(time.Now())
	point := m.pointOf(m.applied)
	return required.Position > point.Position || required.Term > point.Term
}

// execute runs a statement and fills in its answer. It returns false if the answer must not
// be sent.
func (s *session) execute(q ctpeer.Query, answer *ctpeer.Answer) bool {
	switch statement := q.Statement.(type) {
	case ctpeer.Begin:
		if !statement.ReadOnly && !s.leads() {
			answer.Fault = ctquery.FaultReadOnly
			break
		}
		s.record(q, ctpeer.Shape{})
		s.open, s.readOnly, s.writes = true, statement.ReadOnly, nil
	case ctpeer.Write:
		return s.write(q, ctpeer.Shape{}, answer)
	case ctpeer.Commit, ctpeer.Rollback:
		return s.end(q, answer)
	case ctpeer.Read:
		s.read(q, ctpeer.Shape{}, answer)
	case ctpeer.Execute:
		shape, ok := s.prepared[statement.Name]
		switch {
		case !ok:
			answer.Fault = ctquery.FaultNoStatement
		case shape.Writes:
			return s.write(q, shape, answer)
		default:
			s.read(q, shape, answer)
		}
	case ctpeer.ReadStatus, ctpeer.Pause, ctpeer.Resume, ctpeer.StepDown:
		s.member.command(statement, answer)
	case nil:
		s.record(q, ctpeer.Shape{})
		answer.Fault = ctquery.FaultMalformed
	default:
		s.changeState(statement)
	}
	return true
}

// changeState runs a statement that changes the session's state.
func (s *session) changeState(statement ctpeer.Statement) {
	switch st := statement.(type) {
	case ctpeer.Set:
		s.values[st.Name] = st.Value
	case ctpeer.Prepare:
		s.prepared[st.Name] = st.Shape
	case ctpeer.Deallocate:
		delete(s.prepared, st.Name)
	case ctpeer.Reset:
		s.values, s.prepared = make(map[string]string), make(map[string]ctpeer.Shape)
	}
}

// end ends the open transaction. It returns false if the answer must not be sent.
func (s *session) end(q ctpeer.Query, answer *ctpeer.Answer) bool {
	answered := true
	s.record(q, ctpeer.Shape{})
	if _, commits := q.Statement.(ctpeer.Commit); commits && len(s.writes) > 0 {
		answer.Fault, answered = s.member.commit(q.ID, s.writes)
	}
	s.open, s.readOnly, s.writes = false, false, nil
	return answered
}

// read runs a read, prepared with a shape unless that is empty.
func (s *session) read(q ctpeer.Query, shape ctpeer.Shape, answer *ctpeer.Answer) {
	if s.open && !s.readOnly && !s.leads() {
		answer.Fault = ctquery.FaultReadOnly
		return
	}
	s.record(q, shape)
}

// write runs a write, and commits it outside transactions. It returns false if the
// connection must end without an answer.
func (s *session) write(q ctpeer.Query, shape ctpeer.Shape, answer *ctpeer.Answer) (answered bool) {
	if !s.leads() || s.readOnly {
		answer.Fault = ctquery.FaultReadOnly
		return true
	}
	s.record(q, shape)
	if s.open {
		s.writes = append(s.writes, q.ID)
		return true
	}
	answer.Fault, answered = s.member.commit(q.ID, []ctquery.ID{q.ID})
	return answered
}

// record tells the judge of a statement that runs now, prepared with a shape unless that is
// empty.
func (s *session) record(q ctpeer.Query, shape ctpeer.Shape) {
	m := s.member
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	m.group.judge.recordRun(run{query: q, shape: shape, member: m.Name, conn: s, log: m.log[:m.applied:m.applied]})
}

// leads reports whether the member considers itself the primary.
func (s *session) leads() bool {
	s.member.group.mutex.Lock()
	defer s.member.group.mutex.Unlock()
	return s.member.primary
}

// command runs a command of control or a status query.
func (m *Member) command(statement ctpeer.Statement, answer *ctpeer.Answer) {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	if m.busy || time.Now().Before(m.busyUntil) {
		answer.Fault = ctquery.FaultBusy
		return
	}
	switch c := statement.(type) {
	case ctpeer.Pause:
		if !m.primary && c.Term > m.term {
			m.pausedBelow = c.Term
		}
	case ctpeer.Resume:
		m.pausedBelow = 0
	case ctpeer.StepDown:
		if m.primary && m.term < c.Term {
			m.demote("step_down")
			m.group.notifyChange()
		}
	}
	answer.Rows = []string{ctpeer.FormatStatus(m.status())}
}

// crash stops the member and resets its connections. The member keeps its log. It returns
// false if the member does not run.
func (m *Member) crash() bool {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	if !m.running {
		return false
	}
	m.running = false
	for s := range m.sockets {
		reset(s)
	}
	m.group.notifyChange()
	return true
}

// restart starts a crashed member with its log. It is a replica if another one was promoted.
func (m *Member) restart() {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	m.running, m.pausedBelow = true, 0
	m.primary = m.group.latest == m
	m.applied = len(m.log)
	m.incarnation = max(m.incarnation+1, nowIncarnation())
	m.sockets = make(map[net.Conn]struct{})
	m.group.notifyChange()
}
