package ctgateway

import (
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
