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
	// statementTime is the routes' limit of one statement.
	statementTime = 2 * time.Second
	// answerTime is how long a caller waits for an answer. What a proxy has not
	// answered well after the route's limit was forgotten.
	answerTime = 2*statementTime + time.Second
	// staleTime is how old reads of bounded routes may be, and sessionTime those of
	// session routes.
	staleTime   = 1500 * time.Millisecond
	sessionTime = 2500 * time.Millisecond
	// retryTime is how long a caller waits before it comes back after a refusal.
	retryTime = 150 * time.Millisecond
	thinkTime = 80 * time.Millisecond
	startTime = 3 * time.Second
)

// freshness is what a route's reads must show.
type freshness int

// The kinds of routes, one database of each group for each.
const (
	freshPrimary freshness = iota
	freshBounded
	freshSession
	freshnessCount
)

// String names the kind of route.
func (f freshness) String() string {
	return [...]string{"primary", "bounded", "session"}[f]
}

func (f freshness) stale() time.Duration {
	return [...]time.Duration{0, staleTime, sessionTime}[f]
}

// database names the database of a group with a kind of route.
func database(group ctid.Group, f freshness) ctid.Database {
	return ctid.Database(fmt.Sprintf("%s-%s", group, f))
}

// tally counts the operations of a kind of route.
type tally struct {
	asked, served atomic.Int64
}

// caller opens sessions, one after the other.
type caller struct {
	name     string
	site     *Fleet
	balancer *balancer
	group    *Group
	fresh    freshness
	tally    *tally
	random   *rand.Rand

	sessions int
	queries  int
}

// errEnded ends a session: its caller leaves or the proxy closed it.
var errEnded = errors.New("the session ended")

// run opens sessions until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.session(ctx, c.balancer.pick(c.random)) {
			sleep(ctx, retryTime)
		}
	}
}

// conversation is one session of a caller.
type conversation struct {
	*caller
	name  string
	proxy *host
	end   *platform.CallerConn
	// own is the session's newest commit.
	own entry
}

// session holds one session, and reports false where there was none.
func (c *caller) session(ctx context.Context, proxy *host) bool {
	c.sessions++
	dial, cancel := context.WithTimeout(ctx, startTime)
	end, _, err := platform.DialProxy(dial, proxy.settings.CallerAddress, database(c.group.name, c.fresh))
	cancel()
	if err != nil || end == nil {
		c.tally.asked.Add(1)
		return false
	}
	defer end.Close()
	s := &conversation{caller: c, name: fmt.Sprintf("%s.%d", c.name, c.sessions), proxy: proxy, end: end}
	if err := s.prepare(); err != nil {
		return false
	}
	for n := 1 + c.random.IntN(40); n > 0 && ctx.Err() == nil; n-- {
		c.tally.asked.Add(1)
		served, err := s.operate()
		if served {
			c.tally.served.Add(1)
		}
		if err != nil {
			return served
		}
		pause := thinkTime
		if !served {
			pause = retryTime
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
func (s *conversation) prepare() error {
	block := s.block(false)
	for _, statement := range []ctquery.Statement{
		ctquery.Set{Name: ownerValue, Value: s.name},
		ctquery.Prepare{Name: preparedRead, Shape: s.shape(false)},
		ctquery.Prepare{Name: preparedWrite, Shape: s.shape(true)},
	} {
		answer, _, err := s.ask(statement, ctquery.Shape{}, block)
		if err != nil || !answer.OK() {
			return errEnded
		}
	}
	return nil
}

// shape is what the session's prepared statements do; sessions use the same names
// for different things.
func (s *conversation) shape(writes bool) ctquery.Shape {
	return ctquery.Shape{Writes: writes, Text: "q-" + s.name}
}

func (s *conversation) block(transaction bool) *Transaction {
	return &Transaction{session: s.name, transaction: transaction}
}

// ask sends a statement and returns its answer.
func (s *conversation) ask(
	statement ctquery.Statement, shape ctquery.Shape, block *Transaction,
) (ctquery.Answer, ctquery.ID, error) {
	s.queries++
	id := ctquery.ID(fmt.Sprintf("%s-%d", s.caller.name, s.queries))
	q := ctquery.Query{ID: id, Statement: statement}
	s.site.judge.expect(q, block, shape)
	sent := time.Now()
	_ = s.end.SetReadDeadline(sent.Add(answerTime))
	err := s.end.Send(q)
	var answer ctquery.Answer
	if err == nil {
		answer, err = s.end.Receive()
	}
	if err != nil {
		s.broken(id, sent, err)
		return answer, id, err
	}
	return answer, id, nil
}

// broken judges a statement that got no answer: that may only be where the proxy was
// disturbed.
func (s *conversation) broken(id ctquery.ID, sent time.Time, err error) {
	var failure net.Error
	switch late := errors.As(err, &failure) && failure.Timeout(); {
	case late && s.proxy.undisturbed(sent.Add(-startTime)):
		s.site.judge.breach(InvariantTimelyAnswer, "%s did not answer %s within %s", s.proxy.Host, id, answerTime)
	case !late && s.proxy.undisturbed(sent.Add(-stopTime)) && s.site.calm(sent.Add(-stopTime)):
		s.site.judge.breach(InvariantTimelyAnswer, "%s broke the connection of %s off without a fault: %v",
			s.proxy.Host, id, err)
	}
}

// demand returns what a read that is sent now must show.
func (s *conversation) demand() ReadRequirement {
	d := s.site.judge.demand(s.group.name, s.fresh.stale())
	if s.fresh == freshSession {
		d.IncludeOwn(s.own)
	}
	return d
}

// operate performs one operation, and reports whether it was served.
func (s *conversation) operate() (bool, error) {
	writes := s.fresh != freshBounded && s.random.IntN(4) == 0
	if s.random.IntN(4) == 0 {
		return s.transaction(writes)
	}
	block := s.block(false)
	statement, shape := s.statement(writes)
	demand := s.demand()
	answer, id, err := s.ask(statement, shape, block)
	if err != nil {
		return false, err
	}
	if !answer.OK() {
		return false, s.refused(answer, block)
	}
	if writes {
		return true, s.committed(id, answer)
	}
	s.site.judge.success(id, answer, demand)
	return true, nil
}

// statement draws a read or a write, plain or prepared.
func (s *conversation) statement(writes bool) (ctquery.Statement, ctquery.Shape) {
	prepared := s.random.IntN(3) == 0
	item := fmt.Sprintf("i%d", s.random.IntN(50))
	data := fmt.Sprintf("%s d%d", item, s.queries)
	switch {
	case writes && prepared:
		return ctquery.Execute{Name: preparedWrite, Arguments: data}, s.shape(true)
	case writes:
		return ctquery.Write{Arguments: data}, ctquery.Shape{}
	case prepared:
		return ctquery.Execute{Name: preparedRead, Arguments: item}, s.shape(false)
	default:
		return ctquery.Read{Item: item}, ctquery.Shape{}
	}
}

// refused hears an error. It ends the session where the transaction is not at rest.
func (s *conversation) refused(answer ctquery.Answer, block *Transaction) error {
	if answer.Fault.NotRun() || answer.Fault == ctquery.FaultAborted {
		s.site.judge.refused(s.group.name, block)
	}
	if answer.Transaction != ctquery.TransactionNone {
		return errEnded
	}
	return nil
}

// committed hears that a commit with writes succeeded.
func (s *conversation) committed(id ctquery.ID, answer ctquery.Answer) error {
	e, made := s.site.judge.success(id, answer, ReadRequirement{})
	if !made {
		s.site.judge.breach(InvariantProof, "commit %s succeeded and made no entry", id)
		return errEnded
	}
	s.own = e
	s.site.judge.acknowledged(s.group.name, e)
	if !s.group.Contains(e) {
		s.site.judge.breach(InvariantDurability,
			"%s: commit %s, entry %d of term %d, was acknowledged after another member led",
			s.group.name, id, e.number, e.term)
	}
	return nil
}

// transaction performs a transaction. Some roll back, some callers rest inside, and
// some leave.
func (s *conversation) transaction(writes bool) (bool, error) {
	block := s.block(true)
	demand := s.demand()
	answer, _, err := s.ask(ctquery.Begin{ReadOnly: !writes}, ctquery.Shape{}, block)
	if err != nil {
		return false, err
	}
	if !answer.OK() {
		return false, s.refused(answer, block)
	}
	wrote := false
	for n := 1 + s.random.IntN(4); n > 0; n-- {
		write := writes && (!wrote || s.random.IntN(2) == 0)
		statement, shape := s.statement(write)
		answer, id, err := s.ask(statement, shape, block)
		if err != nil {
			return false, err
		}
		if !answer.OK() {
			return false, s.rollBack(answer, block)
		}
		if write {
			demand, wrote = ReadRequirement{}, true
		}
		s.site.judge.success(id, answer, demand)
		if s.random.IntN(4) == 0 {
			time.Sleep(time.Duration(s.random.ExpFloat64() * float64(thinkTime)))
		}
	}
	return s.finish(block, wrote)
}

// finish ends a transaction: with a commit as a rule.
func (s *conversation) finish(block *Transaction, wrote bool) (bool, error) {
	switch s.random.IntN(12) {
	case 0:
		return true, errEnded
	case 1:
		answer, _, err := s.ask(ctquery.Rollback{}, ctquery.Shape{}, block)
		return err == nil && answer.OK(), err
	}
	answer, id, err := s.ask(ctquery.Commit{}, ctquery.Shape{}, block)
	switch {
	case err != nil:
		return false, err
	case !answer.OK():
		return false, s.refused(answer, block)
	case wrote:
		return true, s.committed(id, answer)
	}
	s.site.judge.success(id, answer, ReadRequirement{})
	return true, nil
}

// rollBack hears an error inside a transaction and ends it.
func (s *conversation) rollBack(refusal ctquery.Answer, block *Transaction) error {
	if err := s.refused(refusal, block); err == nil {
		return nil
	}
	answer, _, err := s.ask(ctquery.Rollback{}, ctquery.Shape{}, block)
	if err != nil || !answer.OK() || answer.Transaction != ctquery.TransactionNone {
		return errEnded
	}
	return nil
}
