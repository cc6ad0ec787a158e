package ctgateway

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
)

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
