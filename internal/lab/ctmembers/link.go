package ctmembers

import (
	"io"
	"maps"
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

// linkRoom is how many queries may wait on a link.
const linkRoom = 64

// link is a connection to a member.
type link struct {
	group   *Group
	member  *member
	queries chan ctquery.Query
	answers chan ctquery.Answer
	closed  chan struct{}
	once    sync.Once

	values   map[string]string
	prepared map[string]ctquery.Shape
	// transaction is the open one, or nil.
	transaction *transaction
}

// transaction is an open transaction of a member.
type transaction struct {
	readOnly bool
	writes   []entry
}

func newLink(g *Group, m *member) *link {
	l := &link{
		group: g, member: m,
		queries:  make(chan ctquery.Query, linkRoom),
		answers:  make(chan ctquery.Answer, linkRoom),
		closed:   make(chan struct{}),
		values:   make(map[string]string),
		prepared: make(map[string]ctquery.Shape),
	}
	go l.serve()
	return l
}

// Send takes queries.
func (l *link) Send(queries []ctquery.Query) error {
	for _, q := range queries {
		select {
		case l.queries <- q:
		case <-l.closed:
			return io.ErrClosedPipe
		}
	}
	return nil
}

// Receive returns the next answer.
func (l *link) Receive() (ctquery.Answer, error) {
	select {
	case a := <-l.answers:
		return a, nil
	case <-l.closed:
		return ctquery.Answer{}, io.EOF
	}
}

// Close closes the connection; an open transaction rolls back.
func (l *link) Close() {
	l.once.Do(func() {
		close(l.closed)
		l.group.mutex.Lock()
		defer l.group.mutex.Unlock()
		l.member.open--
	})
}

func (l *link) serve() {
	for {
		select {
		case <-l.closed:
			return
		case q := <-l.queries:
			answer := l.run(q)
			if _, own := q.Statement.(ctquery.ReadStatus); !own && q.ID != "" && l.group.losing() {
				continue
			}
			select {
			case l.answers <- answer:
			case <-l.closed:
				return
			}
		}
	}
}

// run runs a query and completes its answer.
func (l *link) run(q ctquery.Query) ctquery.Answer {
	point := l.group.point(l.member)
	answer := ctquery.Answer{Point: point}
	if q.MinPoint.Term > point.Term || q.MinPoint.Position > point.Position {
		answer.Fault = ctquery.FaultBehind
	} else {
		l.execute(q, &answer)
	}
	if l.transaction != nil {
		answer.Transaction = ctquery.TransactionOpen
	}
	answer.Point = l.group.point(l.member)
	return answer
}

func (l *link) execute(q ctquery.Query, answer *ctquery.Answer) {
	switch s := q.Statement.(type) {
	case ctquery.Reset:
		l.values, l.prepared = make(map[string]string), make(map[string]ctquery.Shape)
	case ctquery.Set:
		l.values[s.Name] = s.Value
	case ctquery.Prepare:
		l.prepared[s.Name] = s.Shape
	case ctquery.Begin:
		l.begin(s, answer)
	case ctquery.Rollback:
		l.transaction = nil
	case ctquery.Commit:
		l.commit(answer)
	case ctquery.Read:
		l.read(q, s.Item, answer)
	case ctquery.Write:
		l.write(q, s.Arguments, answer)
	case ctquery.Execute:
		l.prepare(q, s, answer)
	}
}

func (l *link) begin(s ctquery.Begin, answer *ctquery.Answer) {
	switch {
	case l.transaction != nil:
		l.group.note("a transaction was begun inside another one")
	case !s.ReadOnly && !l.member.primary:
		answer.Fault = ctquery.FaultReadOnly
	default:
		l.transaction = &transaction{readOnly: s.ReadOnly}
	}
}

// work takes a slot for as long as a statement takes.
func (l *link) work(answer *ctquery.Answer) bool {
	if !l.group.enter(l.member) {
		answer.Fault = ctquery.FaultBusy
		return false
	}
	time.Sleep(l.group.StatementDelay)
	<-l.member.slots
	answer.Proof = "proof"
	return true
}

func (l *link) commit(answer *ctquery.Answer) {
	if l.transaction == nil {
		l.group.note("a commit came outside a transaction")
		return
	}
	if !l.work(answer) {
		return
	}
	l.group.commit(l.transaction.writes)
	l.transaction = nil
}

func (l *link) read(q ctquery.Query, item string, answer *ctquery.Answer) {
	if !l.work(answer) {
		return
	}
	l.checkValues(q)
	var writes []entry
	if l.transaction != nil {
		writes = l.transaction.writes
	}
	answer.Rows = []string{l.group.read(l.member, item, writes)}
}

func (l *link) write(q ctquery.Query, arguments string, answer *ctquery.Answer) {
	if !l.member.primary {
		answer.Fault = ctquery.FaultReadOnly
		return
	}
	if !l.work(answer) {
		return
	}
	l.checkValues(q)
	item, data := split(arguments)
	e := entry{item: item, data: data, id: q.ID}
	if l.transaction != nil {
		l.transaction.writes = append(l.transaction.writes, e)
		return
	}
	l.group.commit([]entry{e})
}

func (l *link) prepare(q ctquery.Query, s ctquery.Execute, answer *ctquery.Answer) {
	shape, ok := l.prepared[s.Name]
	switch {
	case !ok:
		answer.Fault = ctquery.FaultNoStatement
	case shape.Writes:
		l.write(q, s.Arguments, answer)
	default:
		l.read(q, s.Arguments, answer)
	}
}

// ownerValue is the session value by which tests name the session; each query's
// id begins with it.
const ownerValue = "owner"

// checkValues checks that a query runs with the values of its own session.
func (l *link) checkValues(q ctquery.Query) {
	owner, ok := l.values[ownerValue]
	if ok && q.ID != "" && string(q.ID)[:min(len(owner), len(q.ID))] != owner {
		l.group.note("query %s ran with the values of session %s: %v", q.ID, owner, maps.Clone(l.values))
	}
}
