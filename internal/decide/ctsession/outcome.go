package ctsession

import (
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctstatement"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// handleAnswer finishes the current request with the outcome Ran.
func (s *Session) handleAnswer(env *Environment, e Answered) []Effect {
	if s.stage != stageRunning {
		return nil
	}
	env.Throttles.RecordAnswer(s.route.Member, true)
	s.inTransaction = e.InTransaction
	s.Seen = ctposition.Later(s.Seen, e.Point)
	finish := Finish{
		Request: s.requestID(env), Outcome: ctoutcome.Ran{Point: e.Point, Duplicate: e.Duplicate}, Seen: s.Seen,
	}
	if e.InTransaction && s.requestsDue {
		return append([]Effect{finish},
			s.disconnect(env, ctoutcome.NotRun{Reason: ctoutcome.ReasonLeaving}, DisconnectDrain)...)
	}
	if e.InTransaction {
		s.stage = stageInTransaction
		return []Effect{finish, s.startTransactionTimer(env)}
	}
	return append([]Effect{finish, CloseStream{}}, s.returnToIdle(env)...)
}

// handleRefusal retries or ends a request of which nothing ran. Within a
// transaction it ends the session.
func (s *Session) handleRefusal(env *Environment, e Refused) []Effect {
	if s.stage != stageRunning {
		return nil
	}
	if s.inTransaction {
		return s.disconnect(env, ctoutcome.NotRun{Reason: e.Reason}, DisconnectTransactionLost)
	}
	env.Throttles.RecordAnswer(s.route.Member, !isOverload(e.Reason))
	return append([]Effect{CloseStream{}}, s.retry(env, e.Reason)...)
}

// retry sends the current request to another member, schedules a later try, or
// ends the request.
func (s *Session) retry(env *Environment, reason ctoutcome.Reason) []Effect {
	if s.requestsDue {
		return s.fail(env, ctoutcome.NotRun{Reason: ctoutcome.ReasonLeaving})
	}
	if reason == ctoutcome.ReasonReadOnly {
		return s.retryOnPrimary(env)
	}
	if s.onReplica() {
		s.current.tried.Add(s.route.Member)
		return s.dispatch(env)
	}
	s.current.primaryFailures++
	if (!isTransient(reason) && !s.current.mayHaveRun) || !env.RetryBudget.TryWithdraw() {
		return s.fail(env, ctoutcome.NotRun{Reason: reason})
	}
	return s.scheduleRetry(env, reason)
}

// retryOnPrimary sends the current request to the primary, because it turned out
// to write. It fails if the caller declared the session read-only.
func (s *Session) retryOnPrimary(env *Environment) []Effect {
	if s.ReadOnly {
		return s.fail(env, ctoutcome.NotRun{Reason: ctoutcome.ReasonReadOnly})
	}
	s.current.primaryOnly = true
	return s.dispatch(env)
}

// isOverload reports whether a refusal for the reason means that the member is
// overloaded.
func isOverload(reason ctoutcome.Reason) bool {
	return reason == ctoutcome.ReasonDeadline || reason == ctoutcome.ReasonQueueFull
}

// isTransient reports whether the cause of a refusal may go away by itself before
// the request's deadline.
func isTransient(reason ctoutcome.Reason) bool {
	switch reason {
	case ctoutcome.ReasonNotHolder, ctoutcome.ReasonHolderUnreachable, ctoutcome.ReasonNoLease,
		ctoutcome.ReasonLeaving, ctoutcome.ReasonConnectFailed, ctoutcome.ReasonNoPrimary:
		return true
	default:
		return false
	}
}

// handleStreamFailure retries the current request where that is safe, and
// otherwise ends it.
func (s *Session) handleStreamFailure(env *Environment, e StreamFailed) []Effect {
	if s.stage != stageRunning {
		return nil
	}
	switch {
	case !e.Sent:
		return s.handleRefusal(env, Refused{Reason: e.Reason})
	case s.inTransaction:
		return s.disconnect(env, ctoutcome.Unknown{Reason: e.Reason}, DisconnectTransactionLost)
	case s.canResend() && !e.Relayed:
		s.current.mayHaveRun = s.current.key != ""
		return append([]Effect{CloseStream{}}, s.retry(env, e.Reason)...)
	}
	return append([]Effect{CloseStream{}}, s.fail(env, ctoutcome.Unknown{Reason: e.Reason})...)
}

// canResend reports whether the current request may be sent a second time. It may
// if the first try can't have written anything, or if the record of its
// idempotency key keeps it from running twice.
func (s *Session) canResend() bool {
	if s.current.key != "" {
		return true
	}
	switch s.current.class {
	case ctstatement.Begin, ctstatement.BeginReadOnly, ctstatement.Empty:
		return true
	default:
		return s.onReplica()
	}
}

// fail ends the current request with an outcome other than Ran. If an earlier try
// may have run the request, the outcome is Unknown: that the last try did not run
// says nothing about the earlier one.
func (s *Session) fail(env *Environment, outcome ctoutcome.Outcome) []Effect {
	if s.current.mayHaveRun {
		outcome = ctoutcome.Unknown{Reason: ctoutcome.ReasonOf(outcome)}
	}
	if s.inTransaction {
		return s.disconnect(env, outcome, DisconnectTransactionLost)
	}
	finish := Finish{Request: s.requestID(env), Outcome: outcome, Seen: s.Seen}
	return append([]Effect{finish}, s.returnToIdle(env)...)
}
