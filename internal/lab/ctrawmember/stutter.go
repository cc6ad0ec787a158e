package ctrawmember

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
)

// stutterDelay is how much later some answers are received than others.
const stutterDelay = 100 * time.Microsecond

// stutterer is a member that sends a third of its answers twice, the second time at any
// later moment. It knows what each query did.
type stutterer struct {
	mutex  sync.Mutex
	random *rand.Rand
	dials  int
	// inOrder makes it repeat any number of its last answers in a row.
	inOrder bool
	// outcomes holds the true answer to each query with an ID.
	outcomes map[ctquery.ID]ctquery.Answer
	// answered counts the true answers, and point the commits.
	answered   int
	point      ctposition.Point
	violations []string
}

// Dial opens a connection.
func (s *stutterer) Dial(context.Context, ctserver.Announcement, ctid.Workspace) (ctpools.RawConn, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dials++
	return &stutterConn{
		conn: newConn(answerBuffer), member: s,
		delays: rand.New(rand.NewPCG(uint64(s.dials), s.random.Uint64())),
	}, nil
}

// outcome returns the true answer to a query, and false if the member never received it.
func (s *stutterer) outcome(id ctquery.ID) (ctquery.Answer, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	answer, ok := s.outcomes[id]
	return answer, ok
}

func (s *stutterer) answeredCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.answered
}

// stutterConn is a connection to a stutterer. late holds the repeats to be sent.
type stutterConn struct {
	*conn
	member      *stutterer
	transaction ctquery.Transaction
	late        []ctquery.Answer
	// delays is for the goroutine that receives.
	delays *rand.Rand
}

// Receive delays some answers, so that they arrive at different moments of the next query.
func (c *stutterConn) Receive() (ctquery.Answer, error) {
	answer, err := c.conn.Receive()
	if err == nil && c.delays.IntN(4) == 0 {
		time.Sleep(stutterDelay)
	}
	return answer, err
}

// Send runs queries and queues their answers, and some repeats.
func (c *stutterConn) Send(queries []ctquery.Query) error {
	c.member.mutex.Lock()
	defer c.member.mutex.Unlock()
	for _, query := range queries {
		c.sendLate()
		answer := c.answer(query)
		if query.ID != "" {
			c.member.outcomes[query.ID] = answer
		}
		c.answers <- answer
		if c.member.inOrder || c.member.random.IntN(3) == 0 {
			c.late = append(c.late, answer)
		}
	}
	c.sendLate()
	return nil
}

// sendLate sends any of the repeats that are outstanding.
func (c *stutterConn) sendLate() {
	if c.member.inOrder {
		if len(c.late) > 0 && c.member.random.IntN(4) == 0 {
			for _, answer := range c.late[c.member.random.IntN(len(c.late)):] {
				c.answers <- answer
			}
			c.late = nil
		}
		return
	}
	for len(c.late) > 0 && c.member.random.IntN(3) == 0 {
		i := c.member.random.IntN(len(c.late))
		c.answers <- c.late[i]
		c.late = slices.Delete(c.late, i, i+1)
	}
}

// answer runs a query and returns the true answer. The caller has locked the member's mutex.
func (c *stutterConn) answer(query ctquery.Query) ctquery.Answer {
	c.member.answered++
	answer := c.run(query)
	if !answer.OK() && c.transaction == ctquery.TransactionOpen && answer.Fault != ctquery.FaultBusy {
		c.transaction = ctquery.TransactionFailed
	}
	answer.Transaction, answer.Point = c.transaction, c.member.point
	return answer
}

func (c *stutterConn) run(query ctquery.Query) ctquery.Answer {
	if _, ends := query.Statement.(ctquery.Rollback); ends {
		c.transaction = ctquery.TransactionNone
		return ctquery.Answer{}
	}
	if c.transaction == ctquery.TransactionFailed {
		return ctquery.Answer{Fault: ctquery.FaultMalformed, Text: "the transaction failed"}
	}
	switch query.Statement.(type) {
	case ctquery.Begin:
		c.check(query, ctquery.TransactionNone)
		if c.member.random.IntN(5) == 0 {
			return ctquery.Answer{Fault: ctquery.FaultReadOnly, Text: "i-1"}
		}
		c.transaction = ctquery.TransactionOpen
	case ctquery.Read, ctquery.Write, ctquery.Commit:
		return c.runProven(query)
	case ctquery.ReadStatus:
		return ctquery.Answer{Rows: []string{strconv.Itoa(c.member.answered)}}
	}
	return ctquery.Answer{}
}

// runProven runs a statement whose success has a proof.
func (c *stutterConn) runProven(query ctquery.Query) ctquery.Answer {
	expected := ctquery.TransactionNone
	if strings.HasPrefix(string(query.ID), transactionPrefix) {
		expected = ctquery.TransactionOpen
	}
	c.check(query, expected)
	switch c.member.random.IntN(8) {
	case 0, 1:
		return ctquery.Answer{Fault: ctquery.FaultBusy, Text: "i-1"}
	case 2:
		return ctquery.Answer{Fault: ctquery.FaultFailed, Text: "i-1"}
	}
	_, reads := query.Statement.(ctquery.Read)
	_, commits := query.Statement.(ctquery.Commit)
	if commits || (!reads && expected == ctquery.TransactionNone) {
		c.member.point.Position++
	}
	if commits {
		c.transaction = ctquery.TransactionNone
	}
	return ctquery.Answer{Proof: "proof of " + string(query.ID)}
}

// check records a violation if a query runs in the wrong state of the transaction.
func (c *stutterConn) check(query ctquery.Query, expected ctquery.Transaction) {
	if c.transaction != expected {
		c.member.violations = append(c.member.violations,
			fmt.Sprintf("query %s ran in state %s, not %s", query.ID, c.transaction, expected))
	}
}

// transactionPrefix begins the IDs of queries that have to run in a transaction.
const transactionPrefix = "tx"
