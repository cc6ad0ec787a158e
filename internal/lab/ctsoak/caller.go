package ctsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/cttext"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/platform/ctpeer"
)

// Timeouts and pauses of callers.
const (
	// statementTimeout is the statement timeout of all routes.
	statementTimeout = 2 * time.Second
	// answerTimeout is how long a caller waits for an answer. It is well above the
	// route's statement timeout, so a statement without an answer by then was lost by the
	// proxy.
	answerTimeout = 2*statementTimeout + time.Second
	// boundedMaxStaleness is how stale reads of bounded routes may be, and
	// sessionMaxStaleness is the same for session routes.
	boundedMaxStaleness = 1500 * time.Millisecond
	sessionMaxStaleness = 2500 * time.Millisecond
	// retryDelay is the mean pause of a caller after an operation that was not served, and
	// the exact pause after a failed session or an unacknowledged configuration.
	retryDelay = 150 * time.Millisecond
	// thinkDelay is the mean pause of a caller after an operation that was served.
	thinkDelay = 80 * time.Millisecond
	// startupTimeout is how long the startup of a session may take.
	startupTimeout = 3 * time.Second
)

// freshness is the consistency level of a route's reads.
type freshness int

// The consistency levels. Each group has one database for each level.
const (
	freshnessPrimary freshness = iota
	freshnessBounded
	freshnessSession
	freshnessCount
)

// String returns the part of the database name that stands for the level.
func (f freshness) String() string {
	return [...]string{"primary", "bounded", "session"}[f]
}

// maxStaleness returns how old the data may be that reads return.
func (f freshness) maxStaleness() time.Duration {
	return [...]time.Duration{0, boundedMaxStaleness, sessionMaxStaleness}[f]
}

// databaseName returns the name of the group's database whose route has a consistency level.
func databaseName(group ctid.Group, f freshness) ctid.Database {
	return ctid.Database(fmt.Sprintf("%s-%s", group, f))
}

// operationCounter counts the operations on one database. Callers share it.
type operationCounter struct {
	attempted, served atomic.Int64
}

// caller opens sessions on one database, one after the other. One goroutine uses it.
type caller struct {
	name      string
	fleet     *Fleet
	balancer  *balancer
	group     *Group
	freshness freshness
	counter   *operationCounter
	random    *rand.Rand

	// sessions and queries count the sessions opened and the queries sent. The names of
	// sessions and the IDs of queries are made from them.
	sessions int
	queries  int
}

// errSessionEnded makes the caller close its session. The caller does so after some errors,
// and now and then instead of ending a transaction.
var errSessionEnded = errors.New("the session ended")

// run opens sessions on random proxies until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.runSession(ctx, c.balancer.pick(c.random)) {
			sleep(ctx, retryDelay)
		}
	}
}

// callerSession is one session of a caller at a proxy.
type callerSession struct {
	*caller
	name  string
	proxy *host
	conn  *ctpeer.Caller
	// reader and writer are the names of the session's prepared statements, and readShape and
	// writeShape their shapes. values are its session values. All are as acknowledged.
	reader, writer        string
	readShape, writeShape ctpeer.Shape
	values                map[string]string
	// lastCommit is the log entry of the session's newest commit, or zero.
	lastCommit entryID
}

// runSession opens a session at a proxy, runs operations and closes the session. It
// returns false if the session could not be opened or prepared, or if an operation that was
// not served ended it.
func (c *caller) runSession(ctx context.Context, proxy *host) bool {
	c.sessions++
	dialCtx, cancel := context.WithTimeout(ctx, startupTimeout)
	conn, _, err := ctpeer.Dial(dialCtx, proxy.settings.CallerAddress, databaseName(c.group.name, c.freshness))
	cancel()
	if err != nil || conn == nil {
		c.counter.attempted.Add(1)
		return false
	}
	defer conn.Close()
	s := &callerSession{
		caller: c, name: fmt.Sprintf("%s.%d", c.name, c.sessions), proxy: proxy, conn: conn, values: make(map[string]string),
	}
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
		s.pause(ctx, time.Duration(c.random.ExpFloat64()*float64(pause)))
	}
	return true
}

// pause waits. The session must receive nothing meanwhile.
func (s *callerSession) pause(ctx context.Context, duration time.Duration) {
	until := time.Now().Add(duration)
	if line, unasked := s.conn.AwaitUnasked(duration); unasked {
		s.fleet.checker.recordViolation(InvariantProof, "%s sent %q, which answers nothing", s.proxy.Host, line)
	}
	sleep(ctx, time.Until(until))
}

// Plain texts, from which others are made.
const (
	plainName  = "s1"
	plainShape = "q5"
	plainValue = "v"
)

// prepare sets the session's values and prepares its statements. All sessions share names, and
// half of the shapes; the other half have texts of their own.
func (s *callerSession) prepare() error {
	s.reader = cttext.Word(s.random, plainName)
	s.writer = s.reader + "w"
	shape := plainShape
	if s.random.IntN(2) == 0 {
		shape = "q-" + s.name
	}
	s.readShape = ctpeer.Shape{Text: cttext.Field(s.random, shape)}
	s.writeShape = ctpeer.Shape{Writes: true, Text: cttext.Field(s.random, shape)}
	name, value := cttext.Word(s.random, plainValue), cttext.Field(s.random, plainValue)
	for _, statement := range []ctpeer.Statement{
		ctpeer.Set{Name: ownerVariable, Value: s.name}, ctpeer.Set{Name: name, Value: value},
		ctpeer.Prepare{Name: s.reader, Shape: s.readShape}, ctpeer.Prepare{Name: s.writer, Shape: s.writeShape},
	} {
		answer, _, err := s.call(statement, ctpeer.Shape{}, s.newTransaction(false), ReadRequirement{})
		if err != nil || !answer.OK() {
			return errSessionEnded
		}
	}
	s.values[name] = value
	return nil
}

// refusedShare is how many operations there are for each query that can't be passed on.
const refusedShare = 25

// queryRefused sends a query that can't be passed on: with a line feed, without an ID, or with
// the ID of the system's own statements. It must be answered so, once.
func (s *callerSession) queryRefused() error {
	s.queries++
	id, text := ctquery.ID(fmt.Sprintf("%s-%d", s.caller.name, s.queries)), "READ i"
	switch s.random.IntN(4) {
	case 0:
		id = ""
	case 1:
		id = ctpeer.OwnID
	default:
		text = cttext.Unsendable(s.random, text)
	}
	sent := time.Now()
	_ = s.conn.SetReadDeadline(sent.Add(answerTimeout))
	err := s.conn.Send(id, text)
	var answer ctpeer.Answer
	if err == nil {
		answer, err = s.conn.Receive()
	}
	if err != nil {
		s.checkUnanswered(id, sent, err)
		return err
	}
	if answer.Fault != ctquery.FaultMalformed {
		s.fleet.checker.recordViolation(InvariantOnlySent, "%s answered %q with ID %q with %+v",
			s.proxy.Host, text, id, answer)
	}
	if answer.Transaction != ctquery.TransactionNone {
		return errSessionEnded
	}
	return nil
}

// newTransaction returns a transaction of this session for the checker. It is explicit
// if it runs from a Begin to a Commit or Rollback.
func (s *callerSession) newTransaction(explicit bool) *Transaction {
	return &Transaction{group: s.group.name, session: s.name, explicit: explicit, startedAt: time.Now(), values: s.values}
}

// call sends a statement, waits for its answer and returns both the answer and the ID of
// the query. The shape is that of the prepared statement to execute, else it is empty. A read must
// show what is required.
func (s *callerSession) call(
	statement ctpeer.Statement, shape ctpeer.Shape, tx *Transaction, required ReadRequirement,
) (ctpeer.Answer, ctquery.ID, error) {
	s.queries++
	id := ctquery.ID(fmt.Sprintf("%s-%d", s.caller.name, s.queries))
	s.fleet.checker.recordSent(id, statement, tx, shape, required)
	sent := time.Now()
	_ = s.conn.SetReadDeadline(sent.Add(answerTimeout))
	err := s.conn.Send(id, ctpeer.FormatStatement(statement))
	var answer ctpeer.Answer
	if err == nil {
		answer, err = s.conn.Receive()
	}
	if err != nil {
		s.checkUnanswered(id, sent, err)
		return answer, id, err
	}
	return answer, id, nil
}

// checkUnanswered records a violation for a statement without an answer, unless a recent
// fault explains it. A fault or planned stop of the proxy explains both a timeout and a
// closed connection; an unplanned fault elsewhere explains only a closed connection. A planned
// stop alone explains it only for a statement that the proxy may not have read.
func (s *callerSession) checkUnanswered(id ctquery.ID, sent time.Time, err error) {
	var netError net.Error
	switch timedOut := errors.As(err, &netError) && netError.Timeout(); {
	case timedOut && s.proxy.undisturbedSince(sent.Add(-startupTimeout)):
		s.fleet.checker.recordViolation(InvariantTimelyAnswer, "%s did not answer %s within %s",
			s.proxy.Host, id, answerTimeout)
	case !timedOut && s.proxy.undisturbedSince(sent.Add(-stopTimeout)) && s.fleet.faultFreeSince(sent.Add(-stopTimeout)):
		s.fleet.checker.recordViolation(InvariantTimelyAnswer, "%s closed the connection of %s without a fault: %v",
			s.proxy.Host, id, err)
	case !timedOut && s.proxy.isStopping(sent.Add(-stableWindow)) && s.fleet.faultFreeSince(sent.Add(-stableWindow)):
		s.checkLost(id, sent)
	}
}

// lossSlack is how long after a statement was sent a proxy that stops may close the connection
// without having read the statement.
const lossSlack = 200 * time.Millisecond

// checkLost records a violation for a statement that a proxy has read and not answered before its
// timeout.
func (s *callerSession) checkLost(id ctquery.ID, sent time.Time) {
	elapsed, ran := time.Since(sent), s.fleet.checker.hasRun(id)
	if elapsed < statementTimeout && (ran || elapsed > lossSlack) {
		s.fleet.checker.recordViolation(InvariantTimelyAnswer,
			"%s closed the connection of %s during a planned stop, %s after it was sent; a member ran it: %t",
			s.proxy.Host, id, elapsed, ran)
	}
}

// requirement returns the newest commit that a read sent now must show.
func (s *callerSession) requirement() ReadRequirement {
	r := s.fleet.checker.requirement(s.group.name, s.freshness.maxStaleness())
	if s.freshness == freshnessSession {
		r.IncludeOwn(s.lastCommit)
	}
	return r
}

// runOperation runs one operation: a transaction or a single statement. It reports whether
// the operation was served; an error ends the session.
func (s *callerSession) runOperation() (bool, error) {
	write := s.freshness != freshnessBounded && s.random.IntN(4) == 0
	if s.random.IntN(refusedShare) == 0 {
		if err := s.queryRefused(); err != nil {
			return false, err
		}
	}
	if s.random.IntN(4) == 0 {
		return s.runTransaction(write)
	}
	tx := s.newTransaction(false)
	statement, shape := s.drawStatement(write)
	required := ReadRequirement{}
	if !write {
		required = s.requirement()
	}
	answer, id, err := s.call(statement, shape, tx, required)
	if err != nil {
		return false, err
	}
	if !answer.OK() {
		return false, s.handleRefusal(answer, tx)
	}
	if write {
		return true, s.recordCommit(id, answer)
	}
	s.fleet.checker.checkSuccess(id, answer)
	return true, nil
}

// drawStatement returns a random read or write. The shape is that of the prepared statement
// it executes, or empty for a plain statement.
func (s *callerSession) drawStatement(write bool) (ctpeer.Statement, ctpeer.Shape) {
	prepared := s.random.IntN(3) == 0
	plain := fmt.Sprintf("i%d", s.random.IntN(50))
	item := cttext.Field(s.random, plain)
	data := cttext.Word(s.random, plain) + " " + cttext.Field(s.random, fmt.Sprintf("d%d", s.queries))
	switch {
	case write && prepared:
		return ctpeer.Execute{Name: s.writer, Arguments: data}, s.writeShape
	case write:
		return ctpeer.Write{Arguments: data}, ctpeer.Shape{}
	case prepared:
		return ctpeer.Execute{Name: s.reader, Arguments: item}, s.readShape
	default:
		return ctpeer.Read{Item: item}, ctpeer.Shape{}
	}
}

// handleRefusal handles an error answer. If nothing of the transaction was applied, the
// checker records it as refused. A session that is still inside a transaction ends with
// errSessionEnded.
func (s *callerSession) handleRefusal(answer ctpeer.Answer, tx *Transaction) error {
	if answer.Fault.NotRun() || answer.Fault == ctquery.FaultAborted {
		s.fleet.checker.recordRefused(s.group.name, tx)
	}
	if answer.Fault == ctquery.FaultAborted && tx.explicit {
		s.checkDrained(tx)
	}
	if answer.Fault == ctquery.FaultNoStatement {
		s.fleet.checker.recordViolation(InvariantIsolation, "%s doesn't know a prepared statement of %s",
			s.proxy.Host, s.name)
	}
	if answer.Transaction != ctquery.TransactionNone {
		return errSessionEnded
	}
	return nil
}

// checkDrained records a violation for a transaction that was aborted in the first half of a planned
// stop of the proxy, unless something else explains it.
func (s *callerSession) checkDrained(tx *Transaction) {
	stoppedAt := s.proxy.stoppedAt()
	since := stoppedAt.Add(-stableWindow)
	open := tx.startedAt.Before(stoppedAt.Add(-lossSlack)) && time.Since(stoppedAt) < stopTimeout/2
	// A proxy closes a member's connection that it can't trust, which rolls back.
	excused := s.fleet.checker.stuttered(tx, tx.startedAt.Add(-lossSlack))
	if open && !excused && s.proxy.isStopping(since) && s.fleet.faultFreeSince(since) {
		s.fleet.checker.recordViolation(InvariantDrain, "%s aborted a transaction of %s %s after it was asked to stop",
			s.proxy.Host, s.name, time.Since(stoppedAt))
	}
}

// recordCommit records with the checker that writes were acknowledged, and checks that
// the group's newest log contains them.
func (s *callerSession) recordCommit(id ctquery.ID, answer ctpeer.Answer) error {
	e, appended := s.fleet.checker.checkSuccess(id, answer)
	if !appended {
		s.fleet.checker.recordViolation(InvariantProof, "commit %s succeeded but appended no log entry", id)
		return errSessionEnded
	}
	s.lastCommit = e
	s.fleet.checker.recordAcknowledged(s.group.name, e)
	if !s.group.Contains(e) {
		s.fleet.checker.recordViolation(InvariantDurability,
			"%s: commit %s, entry %d of term %d, was acknowledged after another member became primary",
			s.group.name, id, e.number, e.term)
	}
	return nil
}

// runTransaction runs an explicit transaction of one to four statements, with pauses
// between some of them.
func (s *callerSession) runTransaction(readWrite bool) (bool, error) {
	tx := s.newTransaction(true)
	required := s.requirement()
	answer, _, err := s.call(ctpeer.Begin{ReadOnly: !readWrite}, ctpeer.Shape{}, tx, ReadRequirement{})
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
		if write {
			// The result of a write has no visible log, so freshness is not checked from here on.
			required, wrote = ReadRequirement{}, true
		}
		answer, id, err := s.call(statement, shape, tx, required)
		if err != nil {
			return false, err
		}
		if !answer.OK() {
			return false, s.abortTransaction(answer, tx)
		}
		s.fleet.checker.checkSuccess(id, answer)
		if s.random.IntN(4) == 0 {
			time.Sleep(time.Duration(s.random.ExpFloat64() * float64(thinkDelay)))
		}
	}
	return s.endTransaction(tx, wrote)
}

// endTransaction ends an open transaction. Most are committed, some are rolled back, and
// some are left open when the caller ends the session.
func (s *callerSession) endTransaction(tx *Transaction, wrote bool) (bool, error) {
	switch s.random.IntN(12) {
	case 0:
		return true, errSessionEnded
	case 1:
		answer, _, err := s.call(ctpeer.Rollback{}, ctpeer.Shape{}, tx, ReadRequirement{})
		return err == nil && answer.OK(), err
	}
	answer, id, err := s.call(ctpeer.Commit{}, ctpeer.Shape{}, tx, ReadRequirement{})
	switch {
	case err != nil:
		return false, err
	case !answer.OK():
		return false, s.handleRefusal(answer, tx)
	case wrote:
		return true, s.recordCommit(id, answer)
	}
	s.fleet.checker.checkSuccess(id, answer)
	return true, nil
}

// abortTransaction handles an error answer inside a transaction and rolls the transaction
// back if it is still open.
func (s *callerSession) abortTransaction(refusal ctpeer.Answer, tx *Transaction) error {
	if err := s.handleRefusal(refusal, tx); err == nil {
		return nil
	}
	answer, _, err := s.call(ctpeer.Rollback{}, ctpeer.Shape{}, tx, ReadRequirement{})
	if err != nil || !answer.OK() || answer.Transaction != ctquery.TransactionNone {
		return errSessionEnded
	}
	return nil
}
