package ctrawmember

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
)

// Losing refuses all queries with an ID but writes. It runs a write, whose answer gets lost, and
// sends the answer before it once more. The zero value is ready for use.
type Losing struct{}

// Dial opens a connection.
func (Losing) Dial(context.Context, ctserver.Announcement, ctid.Workspace) (ctpools.RawConn, error) {
	return &losingConn{conn: newConn(answerBuffer)}, nil
}

type losingConn struct {
	*conn
	transaction ctquery.Transaction
	last        ctquery.Answer
}

// Send queues the answers to queries.
func (c *losingConn) Send(queries []ctquery.Query) error {
	for _, query := range queries {
		if _, writes := query.Statement.(ctquery.Write); !writes {
			c.last = c.answer(query)
		}
		c.answers <- c.last
	}
	return nil
}

func (c *losingConn) answer(query ctquery.Query) ctquery.Answer {
	c.transaction = transactionAfter(c.transaction, query.Statement)
	answer := ctquery.Answer{Transaction: c.transaction}
	if query.ID != "" {
		answer.Fault, answer.Text = ctquery.FaultBusy, "i-1"
	}
	return answer
}

// transactionAfter returns the state of the transaction after a statement that succeeded.
func transactionAfter(state ctquery.Transaction, statement ctquery.Statement) ctquery.Transaction {
	switch statement.(type) {
	case ctquery.Begin:
		return ctquery.TransactionOpen
	case ctquery.Rollback:
		return ctquery.TransactionNone
	}
	return state
}

// TooLargeID is the ID of a query that fits on no line to Setting.
const TooLargeID ctquery.ID = "too-large"

// Setting counts the parameters that were set, and refuses them if Refuses is set. The zero
// value is ready for use.
type Setting struct {
	Refuses bool
	Sets    int
}

// Dial opens a connection.
func (m *Setting) Dial(context.Context, ctserver.Announcement, ctid.Workspace) (ctpools.RawConn, error) {
	return &settingConn{conn: newConn(answerBuffer), member: m}, nil
}

type settingConn struct {
	*conn
	member *Setting
}

// Send queues the answers to queries, unless one of them fits on no line.
func (c *settingConn) Send(queries []ctquery.Query) error {
	for _, query := range queries {
		if query.ID == TooLargeID {
			return cterror.New(cterror.Invalid, "the query fits on no line", "shorten it")
		}
	}
	for _, query := range queries {
		answer := proven(query)
		if _, sets := query.Statement.(ctquery.Set); sets {
			c.member.Sets++
			if c.member.Refuses {
				answer.Fault, answer.Text = ctquery.FaultBusy, "i-1"
			}
		}
		c.answers <- answer
	}
	return nil
}

// Garbled has one connection, whose first answer can't be decoded.
type Garbled struct {
	*conn
	sent chan struct{}
}

// NewGarbled returns a member.
func NewGarbled() *Garbled {
	return &Garbled{conn: newConn(0), sent: make(chan struct{})}
}

// Dial returns the connection.
func (m *Garbled) Dial(context.Context, ctserver.Announcement, ctid.Workspace) (ctpools.RawConn, error) {
	return m, nil
}

// Send makes the answer arrive.
func (m *Garbled) Send([]ctquery.Query) error {
	close(m.sent)
	return nil
}

// Receive returns the error of an answer that can't be decoded.
func (m *Garbled) Receive() (ctquery.Answer, error) {
	select {
	case <-m.sent:
	case <-m.closed:
	}
	return ctquery.Answer{}, cterror.New(cterror.Invalid, "a line has a lone LF at offset 5", "end lines with CR LF")
}

// Closed is closed once the connection is.
func (m *Garbled) Closed() <-chan struct{} {
	return m.closed
}

// Burst has one connection, whose answers arrive before the write of their queries returns, if
// they are read so soon.
type Burst struct {
	*conn
	// Sent counts the queries.
	Sent atomic.Int64
}

// NewBurst returns a member.
func NewBurst() *Burst {
	return &Burst{conn: newConn(0)}
}

// Dial returns the connection.
func (m *Burst) Dial(context.Context, ctserver.Announcement, ctid.Workspace) (ctpools.RawConn, error) {
	return m, nil
}

// burstWait is how long a write waits until its answers are read.
const burstWait = 50 * time.Millisecond

// Send sends the answers to queries.
func (m *Burst) Send(queries []ctquery.Query) error {
	m.Sent.Add(int64(len(queries)))
	allRead := make(chan struct{})
	go func() {
		defer close(allRead)
		for _, query := range queries {
			m.Answer(proven(query))
		}
	}()
	select {
	case <-allRead:
	case <-time.After(burstWait):
	}
	return nil
}

// Answer sends an answer, and returns once it is read or the connection is closed.
func (m *Burst) Answer(answer ctquery.Answer) {
	select {
	case m.answers <- answer:
	case <-m.closed:
	}
}

// Numbered sends some of its answers twice, the second time with the next command. Its statuses
// are numbered from 1.
type Numbered struct {
	mutex  sync.Mutex
	random *rand.Rand
	number int
	dials  int
}

// NewNumbered returns a member. The seed decides which answers are repeated.
func NewNumbered(seed uint64) *Numbered {
	return &Numbered{random: rand.New(rand.NewPCG(seed, 0))}
}

// Dial opens a connection.
func (m *Numbered) Dial(context.Context, ctserver.Announcement, ctid.Workspace) (ctpools.RawConn, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.dials++
	return &numberedConn{conn: newConn(answerBuffer), member: m}, nil
}

// Last returns the number of the latest status.
func (m *Numbered) Last() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.number
}

// DecodeNumber decodes a status of a Numbered, whose number it returns as the received position.
func DecodeNumber(answer ctquery.Answer) (ctquery.Status, error) {
	number, err := strconv.Atoi(answer.Rows[0])
	return ctquery.Status{Received: ctposition.Point{Term: 1, Position: ctposition.Position(number)}}, err
}

// numberedConn is a connection to a Numbered. late is the answer to be repeated, or nil.
type numberedConn struct {
	*conn
	member *Numbered
	late   *ctquery.Answer
	state  ctquery.Transaction
}

// Send runs commands and queues their answers, behind the one that is repeated.
func (c *numberedConn) Send(queries []ctquery.Query) error {
	c.member.mutex.Lock()
	defer c.member.mutex.Unlock()
	if c.late != nil {
		c.answers <- *c.late
		c.late = nil
	}
	for _, query := range queries {
		answer := c.answer(query.Statement)
		c.answers <- answer
		if c.member.random.IntN(3) == 0 {
			c.late = &answer
		}
	}
	return nil
}

func (c *numberedConn) answer(statement ctquery.Statement) ctquery.Answer {
	c.state = transactionAfter(c.state, statement)
	answer := ctquery.Answer{Transaction: c.state}
	switch statement.(type) {
	case ctquery.ReadStatus, ctquery.Pause, ctquery.Resume, ctquery.StepDown:
		c.member.number++
		answer.Rows = []string{strconv.Itoa(c.member.number)}
	}
	return answer
}
