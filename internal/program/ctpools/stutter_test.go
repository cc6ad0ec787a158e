package ctpools_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

const (
	stutterSeeds         = 100
	operationsPerSeed    = 40
	stutterAnswerTimeout = 5 * time.Second
	// stutterDelay is how much later some answers are received than others.
	stutterDelay = 100 * time.Microsecond
)

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

func (s *stutterer) Dial(context.Context, ctserver.Announcement) (ctpools.RawConn, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dials++
	return &stutterConn{
		member: s, answers: make(chan ctquery.Answer, 4096), closed: make(chan struct{}),
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
	member      *stutterer
	answers     chan ctquery.Answer
	closed      chan struct{}
	once        sync.Once
	transaction ctquery.Transaction
	late        []ctquery.Answer
	// delays is for the goroutine that receives.
	delays *rand.Rand
}

func (c *stutterConn) Receive() (ctquery.Answer, error) {
	select {
	case answer := <-c.answers:
		if c.delays.IntN(4) == 0 {
			time.Sleep(stutterDelay)
		}
		return answer, nil
	case <-c.closed:
		return ctquery.Answer{}, io.EOF
	}
}

func (c *stutterConn) Close() { c.once.Do(func() { close(c.closed) }) }

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

// stutterSession runs random operations and judges their answers.
type stutterSession struct {
	member *stutterer
	pools  *ctpools.Pools
	held   ctlock.Held
	random *rand.Rand
	count  int
	tally  stutterTally
}

// stutterTally counts answers. The wrong ones are those of another query.
type stutterTally struct {
	right, doubtful             int
	wrongSuccesses, wrongFaults int
	wrongStatuses, untrueUnsent int
	violations                  int
}

func (s *stutterSession) operate(t *testing.T) {
	t.Helper()
	conn, err := s.pools.Acquire(&s.held, stutterMember, ctpools.AcquireOptions{
		Deadline: time.Now().Add(stutterAnswerTimeout),
	})
	assert.NilError(t, err)
	state := ctdialog.NewState(map[ctquery.Word]ctquery.Text{"v": ctquery.Text(strconv.Itoa(s.random.IntN(2)))}, nil)
	ok := false
	switch s.random.IntN(4) {
	case 0:
		ok = s.runStatus(conn)
	case 1:
		ok = s.runTransaction(conn, state)
	case 2:
		_, ok = s.run(conn, state, "", ctquery.Read{Item: "x"})
	case 3:
		_, ok = s.run(conn, state, "", ctquery.Write{Arguments: "x 1"})
	}
	s.pools.Release(&s.held, conn, ctpools.Result{Answered: ok, Discard: !ok})
}

// runTransaction runs a transaction and reports whether the connection may be used again.
func (s *stutterSession) runTransaction(conn *ctpools.Conn, state *ctdialog.State) bool {
	answer, ok := s.run(conn, state, "", ctquery.Begin{})
	for range s.random.IntN(3) {
		if !ok || !answer.OK() {
			break
		}
		answer, ok = s.run(conn, state, transactionPrefix, ctquery.Write{Arguments: "x 1"})
	}
	if ok && answer.OK() && s.random.IntN(2) == 0 {
		answer, ok = s.run(conn, state, transactionPrefix, ctquery.Commit{})
	}
	if ok && answer.Transaction != ctquery.TransactionNone {
		answer, ok = s.run(conn, nil, "", ctquery.Rollback{})
	}
	return ok && answer.Transaction == ctquery.TransactionNone
}

// run runs a statement and judges its answer. It returns false if none was accepted.
func (s *stutterSession) run(
	conn *ctpools.Conn, state *ctdialog.State, prefix string, statement ctquery.Statement,
) (ctquery.Answer, bool) {
	s.count++
	id := ctquery.ID(fmt.Sprintf("%s%d", prefix, s.count))
	limits := ctpools.Limits{Deadline: time.Now().Add(stutterAnswerTimeout)}
	answer, err := conn.Run(state, ctquery.Query{ID: id, Statement: statement}, limits)
	truth, sent := s.member.outcome(id)
	switch {
	case err != nil && cterror.KindOf(err) == cterror.Exhausted && sent:
		s.tally.untrueUnsent++
	case err != nil:
		s.tally.doubtful++
	case !sent:
		// A rollback outside a transaction needs no member.
	case answer.OK() && (!truth.OK() || answer.Proof != truth.Proof):
		s.tally.wrongSuccesses++
	case !answer.OK() && (truth.Fault != answer.Fault || truth.Text != answer.Text):
		s.tally.wrongFaults++
	default:
		s.tally.right++
	}
	return answer, err == nil
}

// runStatus queries the member's status, which must be from after the query was sent.
func (s *stutterSession) runStatus(conn *ctpools.Conn) bool {
	before := s.member.answeredCount()
	limits := ctpools.Limits{Deadline: time.Now().Add(stutterAnswerTimeout)}
	answer, err := conn.Run(nil, ctquery.Query{Statement: ctquery.ReadStatus{}}, limits)
	switch {
	case err != nil:
		s.tally.doubtful++
		return false
	case len(answer.Rows) != 1:
		s.tally.wrongStatuses++
		return true
	}
	if number, err := strconv.Atoi(answer.Rows[0]); err != nil || number <= before {
		s.tally.wrongStatuses++
	} else {
		s.tally.right++
	}
	return true
}

const stutterMember ctid.Member = "m1"

func newStutterSession(seed uint64, inOrder bool) *stutterSession {
	member := &stutterer{
		inOrder:  inOrder,
		random:   rand.New(rand.NewPCG(seed, 1)),
		outcomes: make(map[ctquery.ID]ctquery.Answer),
		point:    ctposition.Point{Term: 1, Position: 1},
	}
	return &stutterSession{
		member: member, random: rand.New(rand.NewPCG(seed, 2)), pools: newMemberPools(member, zerolog.Nop()),
	}
}

// newMemberPools returns the pools of a proxy that knows stutterMember alone.
func newMemberPools(dialer ctpools.Dialer, logger zerolog.Logger) *ctpools.Pools {
	var held ctlock.Held
	self := ctview.Proxy{Name: "p1", FailureDomain: "d1", State: ctserver.StateReady}
	pools := ctpools.New(dialer, self, nil, &ctclock.System{}, logger)
	pools.ApplyView(&held, &ctview.View{
		Members: map[ctid.Member]ctserver.Announcement{stutterMember: {
			Group: "g", Member: stutterMember, FailureDomain: "d1", Incarnation: 1,
			State: ctserver.StateReady, Slots: 2, Connections: 8,
		}},
		Proxies: map[ctid.Proxy]ctview.Proxy{self.Name: self},
	})
	return pools
}

// Guards against a repeated answer that is taken for that of another query: a success, a
// promise, a status or an end of a transaction that is not the query's own.
func TestRepeatedAnswerIsNotTakenForAnother(t *testing.T) {
	t.Run("each by itself", func(t *testing.T) { assertNoneWrong(t, false) })
	t.Run("many in a row", func(t *testing.T) { assertNoneWrong(t, true) })
}

// assertNoneWrong runs operations with members that repeat answers by themselves or in a row.
func assertNoneWrong(t *testing.T, inOrder bool) {
	t.Helper()
	var total stutterTally
	var dials int
	for seed := range uint64(stutterSeeds) {
		s := newStutterSession(seed, inOrder)
		for range operationsPerSeed {
			s.operate(t)
		}
		s.tally.violations = len(s.member.violations)
		if s.tally.wrong() > 0 {
			t.Errorf("seed %d: %+v", seed, s.tally)
		}
		total.add(s.tally)
		dials += s.member.dials
	}
	t.Logf("%+v, %d connections", total, dials)
}

func (t *stutterTally) wrong() int {
	return t.wrongSuccesses + t.wrongFaults + t.wrongStatuses + t.untrueUnsent + t.violations
}

func (t *stutterTally) add(o stutterTally) {
	t.right += o.right
	t.doubtful += o.doubtful
	t.wrongSuccesses += o.wrongSuccesses
	t.wrongFaults += o.wrongFaults
	t.wrongStatuses += o.wrongStatuses
	t.untrueUnsent += o.untrueUnsent
	t.violations += o.violations
}
