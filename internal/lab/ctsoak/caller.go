package ctsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/platform"
)

// The times of callers.
const (
	// statementTimeout is the routes' limit of one statement.
	statementTimeout = 2 * time.Second
	// answerTimeout is how long a caller waits for an answer. What a proxy has not
	// answered well after the route's limit was forgotten.
	answerTimeout = 2*statementTimeout + time.Second
	// boundedMaxStaleness is how old reads of bounded routes may be, and sessionTime those of
	// session routes.
	boundedMaxStaleness = 1500 * time.Millisecond
	sessionMaxStaleness = 2500 * time.Millisecond
	// retryDelay is how long a caller waits before it comes back after a refusal.
	retryDelay     = 150 * time.Millisecond
	thinkDelay     = 80 * time.Millisecond
	startupTimeout = 3 * time.Second
)

// freshness is what a route's reads must show.
type freshness int

// The kinds of routes, one database of each group for each.
const (
	freshnessPrimary freshness = iota
	freshnessBounded
	freshnessSession
	freshnessCount
)

// String names the kind of route.
func (f freshness) String() string {
	return [...]string{"primary", "bounded", "session"}[f]
}

func (f freshness) maxStaleness() time.Duration {
	return [...]time.Duration{0, boundedMaxStaleness, sessionMaxStaleness}[f]
}

// databaseName names the database of a group with a kind of route.
func databaseName(group ctid.Group, f freshness) ctid.Database {
	return ctid.Database(fmt.Sprintf("%s-%s", group, f))
}

// operationCounter counts the operations of a kind of route.
type operationCounter struct {
	attempted, served atomic.Int64
}

// caller opens sessions, one after the other.
type caller struct {
	name      string
	fleet     *Fleet
	balancer  *balancer
	group     *Group
	freshness freshness
	counter   *operationCounter
	random    *rand.Rand

	sessions int
	queries  int
}

// errSessionEnded ends a session: its caller leaves or the proxy closed it.
var errSessionEnded = errors.New("the session ended")

// run opens sessions until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.runSession(ctx, c.balancer.pick(c.random)) {
			sleep(ctx, retryDelay)
		}
	}
}

// callerSession is one session of a caller.
type callerSession struct {
	*caller
	name  string
	proxy *host
	conn  *platform.CallerConn
	// lastCommit is the session's newest commit.
	lastCommit entryID
}

// runSession holds one session, and reports false where there was none.
func (c *caller) runSession(ctx context.Context, proxy *host) bool {
	c.sessions++
	dialCtx, cancel := context.WithTimeout(ctx, startupTimeout)
	conn, _, err := platform.DialProxy(dialCtx, proxy.settings.CallerAddress, databaseName(c.group.name, c.freshness))
	cancel()
	if err != nil || conn == nil {
		c.counter.attempted.Add(1)
		return false
	}
	defer conn.Close()
	s := &callerSession{caller: c, name: fmt.Sprintf("%s.%d", c.name, c.sessions), proxy: proxy, conn: conn}
	if err := s.prepare(); err != nil {
		return false
	}
	for n := 1 + c.random.IntN(40); n > 0 && ctx.Err() == nil; n-- {
		c.counter.attempted.Add(1)
		served, err := s.runOperation()
		if served {
			c.counter.served.Add(1)
		}
		if err != nil {
			return served
		}
		pause := thinkDelay
		if !served {
			pause = retryDelay
		}
		sleep(ctx, time.Duration(c.random.ExpFloat64()*float64(pause)))
	}
	return true
}

// The statements that sessions prepare.
const (
	preparedRead  = "s1"
	preparedWrite = "s2"
)

// prepare sets the session's values and prepares its statements.
func (s *callerSession) prepare() error {
	tx := s.newTransaction(false)
	for _, statement := range []ctquery.Statement{
		ctquery.Set{Name: ownerVariable, Value: s.name},
		ctquery.Prepare{Name: preparedRead, Shape: s.preparedShape(false)},
		ctquery.Prepare{Name: preparedWrite, Shape: s.preparedShape(true)},
	} {
		answer, _, err := s.call(statement, ctquery.Shape{}, tx)
		if err != nil || !answer.OK() {
			return errSessionEnded
		}
	}
	return nil
}

// preparedShape is what the session's prepared statements do; sessions use the same names
// for different things.
func (s *callerSession) preparedShape(writes bool) ctquery.Shape {
	return ctquery.Shape{Writes: writes, Text: "q-" + s.name}
}

func (s *callerSession) newTransaction(explicit bool) *Transaction {
	return &Transaction{session: s.name, explicit: explicit}
}

// call sends a statement and returns its answer.
func (s *callerSession) call(
	statement ctquery.Statement, shape ctquery.Shape, tx *Transaction,
) (ctquery.Answer, ctquery.ID, error) {
	s.queries++
	id := ctquery.ID(fmt.Sprintf("%s-%d", s.caller.name, s.queries))
	q := ctquery.Query{ID: id, Statement: statement}
	s.fleet.checker.recordSent(q, tx, shape)
	sent := time.Now()
	_ = s.conn.SetReadDeadline(sent.Add(answerTimeout))
	err := s.conn.Send(q)
	var answer ctquery.Answer
	if err == nil {
		answer, err = s.conn.Receive()
	}
	if err != nil {
		s.checkUnanswered(id, sent, err)
		return answer, id, err
	}
	return answer, id, nil
}

// checkUnanswered judges a statement that got no answer: that may only be where the proxy was
// disturbed.
func (s *callerSession) checkUnanswered(id ctquery.ID, sent time.Time, err error) {
	var netError net.Error
	switch timedOut := errors.As(err, &netError) && netError.Timeout(); {
	case timedOut && s.proxy.undisturbedSince(sent.Add(-startupTimeout)):
		s.fleet.checker.recordViolation(InvariantTimelyAnswer, "%s did not answer %s within %s",
			s.proxy.Host, id, answerTimeout)
	case !timedOut && s.proxy.undisturbedSince(sent.Add(-stopTimeout)) && s.fleet.faultFreeSince(sent.Add(-stopTimeout)):
		s.fleet.checker.recordViolation(InvariantTimelyAnswer, "%s broke the connection of %s off without a fault: %v",
			s.proxy.Host, id, err)
	}
}

// requirement returns what a read that is sent now must show.
func (s *callerSession) requirement() ReadRequirement {
	r := s.fleet.checker.requirement(s.group.name, s.freshness.maxStaleness())
	if s.freshness == freshnessSession {
		r.IncludeOwn(s.lastCommit)
	}
	return r
}

// runOperation performs one operation, and reports whether it was served.
func (s *callerSession) runOperation() (bool, error) {
	write := s.freshness != freshnessBounded && s.random.IntN(4) == 0
	if s.random.IntN(4) == 0 {
		return s.runTransaction(write)
	}
	tx := s.newTransaction(false)
	statement, shape := s.drawStatement(write)
	required := s.requirement()
	answer, id, err := s.call(statement, shape, tx)
	if err != nil {
		return false, err
	}
	if !answer.OK() {
		return false, s.handleRefusal(answer, tx)
	}
	if write {
		return true, s.recordCommit(id, answer)
	}
	s.fleet.checker.checkSuccess(id, answer, required)
	return true, nil
}

// drawStatement draws a read or a write, plain or prepared.
func (s *callerSession) drawStatement(write bool) (ctquery.Statement, ctquery.Shape) {
	prepared := s.random.IntN(3) == 0
	item := fmt.Sprintf("i%d", s.random.IntN(50))
	data := fmt.Sprintf("%s d%d", item, s.queries)
	switch {
	case write && prepared:
		return ctquery.Execute{Name: preparedWrite, Arguments: data}, s.preparedShape(true)
	case write:
		return ctquery.Write{Arguments: data}, ctquery.Shape{}
	case prepared:
		return ctquery.Execute{Name: preparedRead, Arguments: item}, s.preparedShape(false)
	default:
		return ctquery.Read{Item: item}, ctquery.Shape{}
	}
}

// handleRefusal hears an error. It ends the session where the transaction is not at rest.
func (s *callerSession) handleRefusal(answer ctquery.Answer, tx *Transaction) error {
	if answer.Fault.NotRun() || answer.Fault == ctquery.FaultAborted {
		s.fleet.checker.recordRefused(s.group.name, tx)
	}
	if answer.Transaction != ctquery.TransactionNone {
		return errSessionEnded
	}
	return nil
}

// recordCommit hears that a commit with writes succeeded.
func (s *callerSession) recordCommit(id ctquery.ID, answer ctquery.Answer) error {
	e, appended := s.fleet.checker.checkSuccess(id, answer, ReadRequirement{})
	if !appended {
		s.fleet.checker.recordViolation(InvariantProof, "commit %s succeeded and made no entry", id)
		return errSessionEnded
	}
	s.lastCommit = e
	s.fleet.checker.recordAcknowledged(s.group.name, e)
	if !s.group.Contains(e) {
		s.fleet.checker.recordViolation(InvariantDurability,
			"%s: commit %s, entry %d of term %d, was acknowledged after another member led",
			s.group.name, id, e.number, e.term)
	}
	return nil
}

// runTransaction performs a transaction. Some roll back, some callers rest inside, and
// some leave.
func (s *callerSession) runTransaction(readWrite bool) (bool, error) {
	tx := s.newTransaction(true)
	required := s.requirement()
	answer, _, err := s.call(ctquery.Begin{ReadOnly: !readWrite}, ctquery.Shape{}, tx)
	if err != nil {
		return false, err
	}
	if !answer.OK() {
		return false, s.handleRefusal(answer, tx)
	}
	wrote := false
	for n := 1 + s.random.IntN(4); n > 0; n-- {
		write := readWrite && (!wrote || s.random.IntN(2) == 0)
		statement, shape := s.drawStatement(write)
		answer, id, err := s.call(statement, shape, tx)
		if err != nil {
			return false, err
		}
		if !answer.OK() {
			return false, s.abortTransaction(answer, tx)
		}
		if write {
			required, wrote = ReadRequirement{}, true
		}
		s.fleet.checker.checkSuccess(id, answer, required)
		if s.random.IntN(4) == 0 {
			time.Sleep(time.Duration(s.random.ExpFloat64() * float64(thinkDelay)))
		}
	}
	return s.endTransaction(tx, wrote)
}

// endTransaction ends a transaction: with a commit as a rule.
func (s *callerSession) endTransaction(tx *Transaction, wrote bool) (bool, error) {
	switch s.random.IntN(12) {
	case 0:
		return true, errSessionEnded
	case 1:
		answer, _, err := s.call(ctquery.Rollback{}, ctquery.Shape{}, tx)
		return err == nil && answer.OK(), err
	}
	answer, id, err := s.call(ctquery.Commit{}, ctquery.Shape{}, tx)
	switch {
	case err != nil:
		return false, err
	case !answer.OK():
		return false, s.handleRefusal(answer, tx)
	case wrote:
		return true, s.recordCommit(id, answer)
	}
	s.fleet.checker.checkSuccess(id, answer, ReadRequirement{})
	return true, nil
}

// abortTransaction hears an error inside a transaction and ends it.
func (s *callerSession) abortTransaction(refusal ctquery.Answer, tx *Transaction) error {
	if err := s.handleRefusal(refusal, tx); err == nil {
		return nil
	}
	answer, _, err := s.call(ctquery.Rollback{}, ctquery.Shape{}, tx)
	if err != nil || !answer.OK() || answer.Transaction != ctquery.TransactionNone {
		return errSessionEnded
	}
	return nil
}
