package ctheldlink

import (
	"net"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/platform"
)

// session is a connection to a member. One goroutine uses it.
type session struct {
	member *Member
	// open, readOnly and writes describe the open transaction.
	open, readOnly bool
	writes         []ctquery.ID
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
	conn := platform.AcceptMember(socket)
	group, name, err := conn.ReadStartup()
	if err != nil {
		return
	}
	point, ok := m.addSocket(socket)
	defer m.removeSocket(socket)
	if !ok || group != groupName || (name != "" && name != m.Name) {
		_ = conn.RefuseStartup(ctquery.FaultWrongMember, string(m.Name))
		return
	}
	if conn.AcceptStartup(point) != nil {
		return
	}
	s := &session{member: m}
	for {
		q, err := conn.ReadQuery()
		if err != nil {
			return
		}
		answer, answered := s.run(q)
		if !answered || conn.WriteAnswer(answer) != nil {
			return
		}
	}
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
func (s *session) run(q ctquery.Query) (ctquery.Answer, bool) {
	answer := ctquery.Answer{Proof: proofOf(s.member.Name, q.ID)}
	answered := true
	if s.behind(q.MinPoint) {
		answer.Fault = ctquery.FaultBehind
	} else {
		answered = s.execute(q, &answer)
	}
	if !answer.OK() {
		answer.Proof = ""
	}
	if s.open {
		answer.Transaction = ctquery.TransactionOpen
	}
	s.member.group.mutex.Lock()
	defer s.member.group.mutex.Unlock()
	answer.Point = s.member.pointOf(s.member.applied)
	return answer, answered && s.member.running
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
func (s *session) execute(q ctquery.Query, answer *ctquery.Answer) bool {
	answered := true
	switch statement := q.Statement.(type) {
	case ctquery.Begin:
		if !statement.ReadOnly && !s.leads() {
			answer.Fault = ctquery.FaultReadOnly
			break
		}
		s.record(q)
		s.open, s.readOnly, s.writes = true, statement.ReadOnly, nil
	case ctquery.Write:
		answer.Fault, answered = s.write(q)
	case ctquery.Commit:
		s.record(q)
		if len(s.writes) > 0 {
			answer.Fault, answered = s.member.commit(q.ID, s.writes)
		}
		s.open, s.readOnly, s.writes = false, false, nil
	case ctquery.Rollback:
		s.record(q)
		s.open, s.readOnly, s.writes = false, false, nil
	case ctquery.Read:
		if s.open && !s.readOnly && !s.leads() {
			answer.Fault = ctquery.FaultReadOnly
			break
		}
		s.record(q)
		answer.Rows = []string{rowOf(q.ID)}
	case ctquery.ReadStatus, ctquery.Pause, ctquery.Resume, ctquery.StepDown:
		s.member.command(statement, answer)
	}
	return answered
}

// write runs a write, and commits it outside transactions. It returns false if the
// connection must end without an answer.
func (s *session) write(q ctquery.Query) (fault ctquery.Fault, answered bool) {
	if !s.leads() || s.readOnly {
		return ctquery.FaultReadOnly, true
	}
	s.record(q)
	if s.open {
		s.writes = append(s.writes, q.ID)
		return ctquery.FaultNone, true
	}
	return s.member.commit(q.ID, []ctquery.ID{q.ID})
}

// record tells the judge of a statement that runs now.
func (s *session) record(q ctquery.Query) {
	m := s.member
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	m.group.judge.recordRun(run{query: q, member: m.Name, conn: s, log: m.log[:m.applied:m.applied]})
}

// leads reports whether the member considers itself the primary.
func (s *session) leads() bool {
	s.member.group.mutex.Lock()
	defer s.member.group.mutex.Unlock()
	return s.member.primary
}

// command runs a command of control or a status query.
func (m *Member) command(statement ctquery.Statement, answer *ctquery.Answer) {
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	if m.busy || time.Now().Before(m.busyUntil) {
		answer.Fault = ctquery.FaultBusy
		return
	}
	switch c := statement.(type) {
	case ctquery.Pause:
		if !m.primary && c.Term > m.term {
			m.pausedBelow = c.Term
		}
	case ctquery.Resume:
		m.pausedBelow = 0
	case ctquery.StepDown:
		if m.primary && m.term < c.Term {
			m.demote("step_down")
			m.group.notifyChange()
		}
	}
	answer.Rows = []string{platform.RenderStatus(m.status())}
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
