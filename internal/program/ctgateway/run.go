package ctgateway

import (
	"fmt"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctplace"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctretry"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
)

// Limits on the execution of one statement.
const (
	// sendTimeoutDivisor divides a route's target latency: a statement must be sent to
	// a member within that part of it. Otherwise it is refused, which leaves the
	// caller time to try another proxy.
	sendTimeoutDivisor = 5
	// retryDelay is the shortest pause before the next search for a member when none may run
	// the statement.
	retryDelay = 15 * time.Millisecond
	// busyTimeoutDivisor divides a route's target latency: a statement that members rejected as
	// busy is sent again within that part of it. Its caller then has time to retry.
	busyTimeoutDivisor = 2
	// defaultRetryAfter is when a caller should retry if nothing is known of the wait, and
	// minRetryAfter and maxRetryAfter bound what it is told. Up to the retryJitterDivisor-th
	// part is added at random, so that callers don't come back together.
	defaultRetryAfter   = 250 * time.Millisecond
	minRetryAfter       = 100 * time.Millisecond
	maxRetryAfter       = 2 * time.Second
	retryJitterDivisor  = 2
	rateLimitRetryAfter = time.Second
	// readTimeoutDivisor divides a route's statement timeout: a read that is not
	// answered within that part of it is sent to another member.
	readTimeoutDivisor = 3
	// busyAvoidTTL, behindAvoidTTL and faultAvoidTTL are how long a member comes last
	// in the order of targets: after it was busy, after it had not applied the
	// required point, and after any other fault.
	busyAvoidTTL   = 60 * time.Millisecond
	behindAvoidTTL = 150 * time.Millisecond
	faultAvoidTTL  = 500 * time.Millisecond
	// maxAttempts is how many times one statement is sent to a member. Attempts at a
	// busy primary do not count.
	maxAttempts = 3
)

// execution is the execution of one statement, on one member after another until one
// has run it.
type execution struct {
	run       ctdialog.Run
	startedAt time.Time
	// sendBy is when the statement must have been sent to a member, and answerBy when
	// its answer must have arrived.
	sendBy   time.Time
	answerBy time.Time
	// attempts counts how often the statement was sent to a member.
	attempts int
	// sent reports whether a query was answered on the connection in use, so that the
	// operation has started there.
	sent bool
	// tried holds the members that are not tried again before the next pause.
	tried ctset.Set[ctid.Member]
	// exhausted holds those of the tried members at which the statement would wait for too
	// long, and retryAfter is the longest known wait at them.
	exhausted  ctset.Set[ctid.Member]
	retryAfter time.Duration
	// busyAnswers counts the answers with ctquery.FaultBusy.
	busyAnswers int
	// lastFault is the fault in the last answer of a failed attempt.
	lastFault ctquery.Fault
	// rateLimited reports that the rate limit of the workspace is reached.
	rateLimited bool
	// refusal says why the statement was refused, if it was.
	refusal refusal
	target  target
}

// refusal is why a statement was refused: a value of the log key "why".
type refusal string

const (
	// refusalNoMember: no member could run it in time. The log adds the last fault.
	refusalNoMember refusal = "no_member_in_time_after_"
	// refusalNoRoom: it would have waited for too long at all members that may run it.
	refusalNoRoom refusal = "no_room_in_time"
	// refusalPrimaryReplaced: its transaction is open at a primary that is or will be
	// replaced.
	refusalPrimaryReplaced refusal = "primary_replaced"
	// refusalStopping: this proxy is about to stop.
	refusalStopping refusal = "planned_stop"
	// refusalRateLimited: the rate limit of the caller's workspace is reached.
	refusalRateLimited refusal = "rate_limited"
)

// target is the member that a statement is sent to.
type target struct {
	member  ctid.Member
	primary bool
	// term is that of the group when the member was selected.
	term ctposition.Term
	// minPoint is the point that the member must have applied; zero for a primary.
	minPoint ctposition.Point
	// choice is why the member was chosen, and wait the expected time until its answer.
	choice ctplace.Reason
	wait   time.Duration
}

// run runs a statement on a member and returns the answer for the caller.
func (s *session) run(run ctdialog.Run) ctquery.Answer {
	now := s.gateway.Clock.Now()
	e := &execution{
		run:       run,
		startedAt: now,
		sendBy:    now.Add(s.route.TargetLatency.Or(defaultTargetLatency) / sendTimeoutDivisor),
		answerBy:  now.Add(time.Duration(s.route.StatementTimeout)),
	}
	e.sendBy = earlier(e.sendBy, e.answerBy)
	result := s.refuseByStop(e)
	switch {
	case result != nil:
	case run.Pinned:
		result = s.runPinned(e)
	default:
		result = s.runOnAnyMember(e)
	}
	reply := s.dialog.HandleResult(run, result)
	s.releaseUnlessRetained(reply)
	s.logDecision(e, result, reply.Answer)
	return reply.Answer
}

// priority returns how urgent the session's requests are.
func (s *session) priority() ctpools.Priority {
	return ctpools.Priority{Route: s.route.Priority, Workspace: s.workspace.Priority}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// releaseUnlessRetained releases the session's connection after a statement, unless
// the reply retains it. It first rolls back a transaction that is still open.
func (s *session) releaseUnlessRetained(reply ctdialog.Reply) {
	if s.pinned == nil || reply.RetainConnection {
		return
	}
	if reply.Rollback || reply.Answer.Transaction != ctquery.TransactionNone {
		s.rollBack()
		return
	}
	s.unpin(ctpools.Result{})
}

// runPinned runs a statement on the connection of the open transaction.
func (s *session) runPinned(e *execution) ctdialog.Result {
	p := s.pinned
	if p == nil {
		return ctdialog.Unanswered{}
	}
	random := s.gateway.Pools.Random
	e.target = target{member: p.conn.Member, primary: p.primary, term: p.term}
	if p.writable && s.gateway.termEnded(&s.held, p.group, p.term) {
		e.refusal = refusalPrimaryReplaced
		return ctdialog.Refused{Fault: ctquery.FaultAborted, Text: "the primary was replaced; nothing is kept"}
	}
	for {
		answer, err := s.exchange(e, e.run.Query, e.answerBy)
		if err != nil {
			return unanswered(err)
		}
		retry := answer.Fault == ctquery.FaultBusy && answer.Transaction == ctquery.TransactionOpen &&
			!s.gateway.Pools.Stop.QueriesAbandoned()
		if !retry || !s.gateway.Clock.Now().Before(e.sendBy) {
			return s.replied(e, answer)
		}
		e.busyAnswers++
		<-s.gateway.Clock.After(e.retryPause(random))
	}
}

// unanswered returns the result of a statement whose answer is missing.
func unanswered(err error) ctdialog.Result {
	return ctdialog.Unanswered{TimedOut: cterror.KindOf(err) == cterror.Expired}
}

// replied returns the result of a statement that a member answered. A durable write
// may be acknowledged only if the member was still the primary when the answer
// arrived, and if every member that may be promoted next at any moment holds it.
func (s *session) replied(e *execution, answer ctquery.Answer) ctdialog.Result {
	authorized := true
	if answer.OK() && e.run.Effect == ctdialog.EffectDurable {
		group := s.pinned.group
		authorized = s.gateway.heldByGuards(&s.held, group, e.target.term, answer.Point, e.answerBy) &&
			s.gateway.acknowledge(&s.held, group, e.target.term, answer.Point)
	}
	return ctdialog.Replied{Answer: answer, Authorized: authorized}
}

// runOnAnyMember runs a statement on the best member that may run it, and on the next
// one if that member did not run it.
func (s *session) runOnAnyMember(e *execution) ctdialog.Result {
	for {
		if s.gateway.Pools.Stop.QueriesAbandoned() {
			return s.refuseByStop(e)
		}
		targets := s.targets(e)
		if len(targets) == 0 {
			if result := s.waitOrRefuse(e); result != nil {
				return result
			}
			continue
		}
		e.target = targets[0]
		if s.acquire(e) {
			if result := s.runOnTarget(e); result != nil {
				return result
			}
		}
		if e.rateLimited {
			return s.refuseRateLimited(e)
		}
	}
}

// waitOrRefuse waits for a while when no member may run the statement, and returns
// nil. It returns a refusal if the statement must not wait any longer, or if all members that
// may run it are known to have no room in time.
func (s *session) waitOrRefuse(e *execution) ctdialog.Result {
	now := s.gateway.Clock.Now()
	pause := e.retryPause(s.gateway.Pools.Random)
	noRoom := e.tried.Len() > 0 && e.tried.Len() == e.exhausted.Len()
	if noRoom {
		result := s.refuse(e)
		e.refusal = refusalNoRoom
		return result
	}
	if e.attempts >= maxAttempts || !now.Add(pause).Before(s.sendDeadline(e, now)) {
		return s.refuse(e)
	}
	e.tried, e.exhausted = ctset.Set[ctid.Member]{}, ctset.Set[ctid.Member]{}
	<-s.gateway.Clock.After(pause)
	return nil
}

// retryPause returns the pause before the next attempt. It is random and grows while members
// answer that they are busy.
func (e *execution) retryPause(random ctretry.Random) time.Duration {
	if e.busyAnswers == 0 {
		return retryDelay
	}
	return max(retryDelay, ctretry.Backoff(e.busyAnswers, random))
}

// sendDeadline returns until when a statement may wait to be sent to a member.
// Normally that is e.sendBy. It is later after a first attempt, while the proxy has
// just started, and during a change of the primary: a member should then be available
// soon. It is now if the change takes longer than expected, if the authority has
// lapsed or if the configuration is outdated.
func (s *session) sendDeadline(e *execution, now time.Time) time.Time {
	target := s.route.TargetLatency.Or(defaultTargetLatency)
	group := s.gateway.State.View(&s.held).Groups[s.route.Group]
	switch {
	case e.attempts > 0 && e.lastFault == ctquery.FaultBusy && !group.ChangingPrimary():
		return earlier(e.answerBy, e.startedAt.Add(target/busyTimeoutDivisor))
	case e.attempts > 0:
		return e.answerBy
	case !s.gateway.primariesReached.Load():
		return earlier(e.answerBy, e.startedAt.Add(target))
	case s.gateway.authorityLapsed(&s.held) || s.gateway.State.ConfigOutdated(&s.held):
		return now
	}
	changeEnd := s.gateway.expectedChangeEnd(&s.held, group)
	switch {
	case changeEnd.IsZero():
		return e.sendBy
	case now.Before(changeEnd):
		return earlier(changeEnd, e.answerBy)
	}
	return now
}

// refuse returns the result of a statement that no member can run in time. Only a
// statement that did not run, or that only read, may be refused.
func (s *session) refuse(e *execution) ctdialog.Result {
	e.refusal = refusalNoMember
	fault := ctquery.FaultBusy
	if e.lastFault == ctquery.FaultBehind {
		fault = e.lastFault
	}
	text := "no member can run this now; " + s.retryText(s.expectedRetry(e))
	return ctdialog.Refused{Fault: fault, Text: text}
}

// expectedRetry returns after how long another attempt can succeed: when the change of the primary
// should be complete, or after the wait at the members that had no room.
func (s *session) expectedRetry(e *execution) time.Duration {
	group := s.gateway.State.View(&s.held).Groups[s.route.Group]
	changeEnd := s.gateway.expectedChangeEnd(&s.held, group).Sub(s.gateway.Clock.Now())
	switch {
	case e.run.Primary && changeEnd > 0:
		return changeEnd
	case e.retryAfter > 0:
		return e.retryAfter
	}
	return defaultRetryAfter
}

// retryText returns the part of a refusal's text that says when to retry.
func (s *session) retryText(wait time.Duration) string {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	wait += time.Duration(s.gateway.Pools.Random.Int64N(int64(wait) / retryJitterDivisor))
	return fmt.Sprintf("retry after %d ms", wait.Milliseconds())
}

// refuseRateLimited returns the result of an operation over the rate limit of its workspace.
func (s *session) refuseRateLimited(e *execution) ctdialog.Result {
	e.refusal = refusalRateLimited
	s.gateway.Metrics.RateLimited.Inc()
	return ctdialog.Refused{
		Fault: ctquery.FaultBusy, Text: "the rate limit of the workspace is reached; " + s.retryText(rateLimitRetryAfter),
	}
}

// acquire acquires a connection to the target, waiting until the send deadline, and
// pins it to the session. If that fails, or if the target was replaced or queries were
// abandoned meanwhile, it marks the member as tried and returns false.
func (s *session) acquire(e *execution) bool {
	deadline := s.sendDeadline(e, s.gateway.Clock.Now())
	if !e.target.primary && deadline.Before(e.sendBy) && !s.gateway.authorityLapsed(&s.held) {
		// Replicas keep serving while a change of the primary takes too long.
		deadline = e.sendBy
	}
	options := ctpools.AcquireOptions{
		State:     s.dialog.State(),
		Workspace: s.workspace.Name,
		Operation: true,
		Priority:  s.priority(),
		Deadline:  deadline,
	}
	conn, err := s.gateway.Pools.Acquire(&s.held, e.target.member, options)
	if err != nil {
		e.rateLimited = cterror.KindOf(err) == cterror.RateLimited
		e.tried.Add(e.target.member)
		if cterror.KindOf(err) == cterror.Exhausted {
			e.recordNoRoom(s.gateway.Pools.ExpectedWait(&s.held, e.target.member, options))
		}
		return false
	}
	// The connection may have been released by a session that the planned stop has ended.
	replaced := e.target.primary && s.gateway.termEnded(&s.held, s.route.Group, e.target.term)
	if replaced || s.gateway.Pools.Stop.QueriesAbandoned() {
		s.gateway.Pools.Release(&s.held, conn, ctpools.Result{NotRun: true})
		e.tried.Add(e.target.member)
		return false
	}
	s.pinned = &pinnedConn{
		conn: conn, group: s.route.Group, primary: e.target.primary, writable: e.run.Primary, term: e.target.term,
	}
	if e.target.primary {
		s.gateway.beginAtPrimary(&s.held, s.route.Group)
	}
	return true
}

// recordNoRoom records that the statement would wait at the target for too long.
func (e *execution) recordNoRoom(wait time.Duration) {
	e.exhausted.Add(e.target.member)
	e.retryAfter = max(e.retryAfter, wait)
}

// recordFault records the fault in an answer of the target.
func (e *execution) recordFault(answer ctquery.Answer) {
	e.lastFault = answer.Fault
	if answer.Fault == ctquery.FaultBusy {
		e.busyAnswers++
	}
	if answer.RetryAfter > 0 {
		e.recordNoRoom(answer.RetryAfter)
	}
}

// runOnTarget runs the statement on the pinned connection, after the BEGIN of its
// transaction if there is one. It returns nil if another member may be tried.
func (s *session) runOnTarget(e *execution) ctdialog.Result {
	e.attempts++
	e.sent = false
	query := e.run.Query
	deadline := e.answerBy
	readOnly := e.run.Effect == ctdialog.EffectNone
	if readOnly {
		deadline = earlier(deadline, s.gateway.Clock.Now().Add(time.Duration(s.route.StatementTimeout)/readTimeoutDivisor))
	}
	if e.run.Begin.Statement != nil {
		begin := e.run.Begin
		begin.MinPoint = e.target.minPoint
		answer, err := s.exchange(e, begin, deadline)
		if err == nil && answer.Fault == ctquery.FaultTooLarge {
			return s.replied(e, answer)
		}
		if err != nil || !answer.OK() {
			return s.handleFailure(e, answer, err)
		}
	} else {
		query.MinPoint = e.target.minPoint
	}
	answer, err := s.exchange(e, query, deadline)
	if err == nil && answer.Fault == ctquery.FaultBusy && answer.Transaction == ctquery.TransactionOpen {
		return s.runPinned(e)
	}
	if err != nil || answer.Fault.NotRun() || (readOnly && answer.Fault == ctquery.FaultFailed) {
		return s.handleFailure(e, answer, err)
	}
	return s.replied(e, answer)
}

// handleFailure handles a statement that did not run, a failed read, or an answer
// that is missing. It returns nil if another member may be tried; the statement has
// then left nothing behind, and its connection is released.
func (s *session) handleFailure(e *execution, answer ctquery.Answer, err error) ctdialog.Result {
	member := e.target.member
	now := s.gateway.Clock.Now()
	e.tried.Add(member)
	if err != nil {
		s.gateway.Pools.Avoid(&s.held, member, now.Add(faultAvoidTTL))
		if e.run.Effect == ctdialog.EffectDurable && e.run.Begin.Statement == nil {
			return unanswered(err)
		}
		s.unpin(ctpools.Result{Discard: true})
		if e.attempts >= maxAttempts || !now.Before(e.answerBy) {
			return unanswered(err)
		}
		return nil
	}
	e.recordFault(answer)
	if e.rateLimited {
		s.unpin(ctpools.Result{NotRun: true})
		return nil
	}
	if e.target.primary && answer.Fault == ctquery.FaultBusy {
		e.attempts--
	}
	s.gateway.Pools.Avoid(&s.held, member, now.Add(avoidTTL(answer.Fault)))
	s.gateway.Metrics.Retries.WithLabelValues(answer.Fault.String()).Inc()
	if answer.Transaction != ctquery.TransactionNone {
		s.rollBack()
	}
	// If the member does not know a statement that was prepared on the connection, the
	// connection's recorded state is wrong.
	s.unpin(ctpools.Result{Discard: answer.Fault == ctquery.FaultNoStatement, NotRun: answer.Fault.NotRun()})
	if answer.Fault.NotRun() {
		if !now.Before(e.answerBy) {
			return s.refuse(e)
		}
		return nil
	}
	if e.attempts >= maxAttempts || !now.Before(e.answerBy) {
		return ctdialog.Replied{Answer: answer, Authorized: true}
	}
	return nil
}

// avoidTTL returns how long a member comes last in the order of targets after a
// fault.
func avoidTTL(fault ctquery.Fault) time.Duration {
	switch fault {
	case ctquery.FaultBusy:
		return busyAvoidTTL
	case ctquery.FaultBehind:
		return behindAvoidTTL
	default:
		return faultAvoidTTL
	}
}

// exchange runs a query on the pinned connection and returns its answer, whose point
// and latency it records. The answer must arrive before deadline.
func (s *session) exchange(e *execution, query ctquery.Query, deadline time.Time) (ctquery.Answer, error) {
	conn := s.pinned.conn
	sentAt := s.gateway.Clock.Now()
	limits := ctpools.Limits{
		SendDeadline: s.sendDeadline(e, sentAt), Deadline: deadline, Priority: s.priority(),
		Operation: !e.run.Pinned && !e.sent,
		Abandoned: s.gateway.Pools.Stop.Abandoned(),
	}
	answer, err := conn.Run(s.dialog.State(), query, limits)
	s.gateway.Pools.RecordOutcome(&s.held, conn, s.dialog.State(), query.Statement, answer, err)
	switch cterror.KindOf(err) {
	case cterror.RateLimited:
		e.rateLimited = true
		return ctquery.Answer{Fault: ctquery.FaultBusy}, nil
	case cterror.Exhausted:
		return ctquery.Answer{Fault: ctquery.FaultBusy, Text: "the statement was not sent; retry now"}, nil
	case cterror.Invalid:
		return ctpools.TooLarge(), nil
	default:
		if err != nil {
			return ctquery.Answer{}, err
		}
	}
	now := s.gateway.Clock.Now()
	e.sent = true
	if s.pinned.primary {
		s.gateway.addAnswerSample(&s.held, s.pinned.group, s.pinned.term, sampleFromStatement, sentAt, answer.Point)
	}
	result := ctpools.Result{Answered: true, Applied: answer.Point}
	if _, begins := query.Statement.(ctquery.Begin); !begins && answer.OK() {
		result.Latency = now.Sub(sentAt)
	}
	s.gateway.Pools.RecordResult(&s.held, conn.Member, result)
	return answer, nil
}
