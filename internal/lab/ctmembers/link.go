package ctmembers

import (
	"io"
	"maps"
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstutter"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

// maxQueuedQueries is how many queries and how many answers may wait on a connection.
const maxQueuedQueries = 64

// statusRow is the row of each answer to a status query. Tests read the answer's point alone.
const statusRow = "status"

// conn is a connection to a member. It implements ctpools.RawConn. Its serve
// goroutine alone uses the settings, prepared statements and transaction.
type conn struct {
	group   *Group
	member  *member
	queries chan ctquery.Query
	answers chan ctquery.Answer
	closed  chan struct{}
	once    sync.Once
	// repeater queues answers, some of them twice.
	repeater ctstutter.Repeater[ctquery.Answer]

	settings map[string]string
	prepared map[string]ctquery.Shape
	// workspace is the one that the connection serves.
	workspace ctid.Workspace
	// transaction is the open transaction, or nil.
	transaction *transaction
}

// transaction is an open transaction. Its writes are appended to the log at commit.
type transaction struct {
	readOnly bool
	writes   []entry
}

// newConn returns a connection and starts its serve goroutine, which ends at Close.
func newConn(g *Group, m *member, workspace ctid.Workspace) *conn {
	c := &conn{
		group: g, member: m,
		queries:  make(chan ctquery.Query, maxQueuedQueries),
		answers:  make(chan ctquery.Answer, maxQueuedQueries),
		closed:   make(chan struct{}),
		settings: make(map[string]string),
		prepared: make(map[string]ctquery.Shape),

		workspace: workspace,
	}
	c.repeater.Plan, c.repeater.Send = g.Stutter, c.queueAnswer
	go c.serve()
	return c
}

// queueAnswer queues an answer. It fails once the connection is closed.
func (c *conn) queueAnswer(answer ctquery.Answer) error {
	select {
	case c.answers <- answer:
		return nil
	case <-c.closed:
		return io.ErrClosedPipe
	}
}

// Send queues queries. It fails once the connection is closed, and with kind cterror.Invalid
// if one of the queries does not fit on a line.
func (c *conn) Send(queries []ctquery.Query) error {
	for _, q := range queries {
		write, ok := q.Statement.(ctquery.Write)
		if limit := c.group.MaxArgumentsBytes; ok && limit > 0 && len(write.Arguments) > limit {
			return cterror.New(cterror.Invalid, "a write does not fit on a line", "shorten it")
		}
	}
	for _, q := range queries {
		select {
		case c.queries <- q:
		case <-c.closed:
			return io.ErrClosedPipe
		}
	}
	return nil
}

// Receive waits for the next answer. It returns io.EOF once the connection is closed.
func (c *conn) Receive() (ctquery.Answer, error) {
	select {
	case a := <-c.answers:
		return a, nil
	case <-c.closed:
		return ctquery.Answer{}, io.EOF
	}
}

// Close closes the connection. An open transaction has no effect.
func (c *conn) Close() {
	c.once.Do(func() {
		close(c.closed)
		c.group.mutex.Lock()
		defer c.group.mutex.Unlock()
		c.member.openConnections--
		c.member.closeCount++
	})
}

// serve runs the queued queries one after another and queues their answers.
func (c *conn) serve() {
	defer c.repeater.Close()
	for {
		select {
		case <-c.closed:
			return
		case q := <-c.queries:
			answer := c.run(q)
			_, isStatus := q.Statement.(ctquery.ReadStatus)
			if counted := !isStatus && q.ID != ""; counted {
				c.group.recordWorkspace(q.ID, c.workspace)
				c.group.awaitRelease(c.closed)
				if c.group.dropNextAnswer() {
					continue
				}
			}
			if c.repeater.Answer(answer) != nil {
				return
			}
		}
	}
}

// run runs a query and returns its answer. If the member has not applied the query's
// MinPoint, nothing runs.
func (c *conn) run(q ctquery.Query) ctquery.Answer {
	point := c.group.point(c.member)
	answer := ctquery.Answer{Point: point}
	if q.MinPoint.Term > point.Term || q.MinPoint.Position > point.Position {
		answer.Fault = ctquery.FaultBehind
	} else {
		c.execute(q, &answer)
	}
	if answer.OK() && provesRun(q.Statement) {
		answer.Proof = c.group.recordResult(q.ID, answer.Rows)
	}
	if c.transaction != nil {
		answer.Transaction = ctquery.TransactionOpen
	}
	answer.Point = c.group.point(c.member)
	return answer
}

func (c *conn) execute(q ctquery.Query, answer *ctquery.Answer) {
	switch s := q.Statement.(type) {
	case ctquery.Reset:
		c.settings, c.prepared = make(map[string]string), make(map[string]ctquery.Shape)
	case ctquery.Set:
		c.settings[string(s.Name)] = string(s.Value)
	case ctquery.Prepare:
		c.prepared[string(s.Name)] = s.Shape
	case ctquery.Begin:
		c.begin(s, answer)
	case ctquery.Rollback:
		c.transaction = nil
	case ctquery.Commit:
		c.commit(answer)
	case ctquery.Read:
		c.read(q, string(s.Item), answer)
	case ctquery.Write:
		c.write(q, string(s.Arguments), answer)
	case ctquery.Execute:
		c.executePrepared(q, s, answer)
	case ctquery.ReadStatus:
		answer.Rows = []string{statusRow}
	}
}

func (c *conn) begin(s ctquery.Begin, answer *ctquery.Answer) {
	switch {
	case c.transaction != nil:
		c.group.recordViolation("a transaction was begun inside another one")
	case !s.ReadOnly && !c.group.isPrimary(c.member):
		answer.Fault = ctquery.FaultReadOnly
	default:
		c.transaction = &transaction{readOnly: s.ReadOnly}
	}
}

// useSlot occupies a slot for the statement delay. If the queue is full, it sets
// FaultBusy and reports false.
func (c *conn) useSlot(answer *ctquery.Answer) bool {
	if !c.group.acquireSlot(c.member) {
		answer.Fault = ctquery.FaultBusy
		return false
	}
	time.Sleep(c.group.StatementDelay)
	<-c.member.slots
	return true
}

func (c *conn) commit(answer *ctquery.Answer) {
	if c.transaction == nil {
		c.group.recordViolation("a commit came outside a transaction")
		return
	}
	if !c.transaction.readOnly && !c.group.isPrimary(c.member) {
		answer.Fault = ctquery.FaultReadOnly
		return
	}
	if !c.useSlot(answer) {
		return
	}
	c.group.appendWrites(c.transaction.writes)
	c.transaction = nil
}

func (c *conn) read(q ctquery.Query, item string, answer *ctquery.Answer) {
	if !c.useSlot(answer) {
		return
	}
	c.checkOwner(q)
	if c.group.failsReads(c.member) {
		answer.Fault = ctquery.FaultFailed
		return
	}
	var writes []entry
	if c.transaction != nil {
		writes = c.transaction.writes
	}
	answer.Rows = []string{c.group.read(c.member, item, writes)}
}

func (c *conn) write(q ctquery.Query, arguments string, answer *ctquery.Answer) {
	if !c.group.isPrimary(c.member) {
		answer.Fault = ctquery.FaultReadOnly
		return
	}
	if !c.useSlot(answer) {
		return
	}
	c.checkOwner(q)
	item, data := splitArguments(arguments)
	e := entry{item: item, data: data, id: q.ID}
	if c.transaction != nil {
		c.transaction.writes = append(c.transaction.writes, e)
		return
	}
	c.group.appendWrites([]entry{e})
}

// executePrepared runs a prepared statement as a read or a write, by its shape.
func (c *conn) executePrepared(q ctquery.Query, s ctquery.Execute, answer *ctquery.Answer) {
	if c.group.losesNextName() {
		clear(c.prepared)
	}
	shape, ok := c.prepared[string(s.Name)]
	switch {
	case !ok:
		answer.Fault = ctquery.FaultNoStatement
	case shape.Writes:
		c.write(q, string(s.Arguments), answer)
	default:
		c.read(q, string(s.Arguments), answer)
	}
}

// ownerSetting is the session setting that contains the session's name in tests. The
// ID of each query of the session begins with that name.
const ownerSetting = "owner"

// checkOwner records a violation if the query runs with another session's settings.
func (c *conn) checkOwner(q ctquery.Query) {
	owner, ok := c.settings[ownerSetting]
	if ok && q.ID != "" && string(q.ID)[:min(len(owner), len(q.ID))] != owner {
		c.group.recordViolation("query %s ran with the settings of session %s: %v", q.ID, owner, maps.Clone(c.settings))
	}
}
