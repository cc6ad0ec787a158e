package ctsession

import (
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctstatement"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

func (s *Session) answer(world *Environment, e Answered) []Effect {
	if s.stage != stageRunning {
		return nil
	}
	world.Throttles.RecordAnswer(s.route.Member, true)
	s.transaction = e.InTransaction
	s.Seen = ctposition.Later(s.Seen, e.Point)
	finish := Finish{
		Request: s.request(world), Outcome: ctoutcome.Ran{Point: e.Point, Duplicate: e.Duplicate}, Seen: s.Seen,
	}
	if e.InTransaction {
		s.stage = stageOpen
		return []Effect{finish, s.armTransaction(world)}
	}
	return append([]Effect{finish, CloseStream{}}, s.rest(world)...)
}

// refuse handles a refusal: nothing of the request ran.
func (s *Session) refuse(world *Environment, e Refused) []Effect {
	if s.stage != stageRunning {
		return nil
	}
	if s.transaction {
		return s.hangup(world, ctoutcome.NotRun{Reason: e.Reason}, DisconnectTransactionLost)
	}
	world.Throttles.RecordAnswer(s.route.Member, !overloaded(e.Reason))
	return append([]Effect{CloseStream{}}, s.again(world, e.Reason)...)
}

// again tries the request in hand elsewhere, or later, or gives it up.
func (s *Session) again(world *Environment, reason ctoutcome.Reason) []Effect {
	if reason == ctoutcome.ReasonReadOnly {
		return s.needPrimary(world)
	}
	if s.onReplica() {
		s.asked.tried.Add(s.route.Member)
		return s.dispatch(world)
	}
	s.asked.tries++
	if (!mayPass(reason) && !s.asked.sent) || !world.RetryBudget.TryWithdraw() {
		return s.fail(world, ctoutcome.NotRun{Reason: reason})
	}
	return s.wait(world, reason)
}

// needPrimary sends a request that proved to write to the primary, unless the
// caller declared that it would not write.
func (s *Session) needPrimary(world *Environment) []Effect {
	if s.ReadOnly {
		return s.fail(world, ctoutcome.NotRun{Reason: ctoutcome.ReasonReadOnly})
	}
	s.asked.primary = true
	return s.dispatch(world)
}

// overloaded reports whether a refusal for the stated reason tells of a member's
// load.
func overloaded(reason ctoutcome.Reason) bool {
	return reason == ctoutcome.ReasonDeadline || reason == ctoutcome.ReasonQueueFull
}

// mayPass reports whether a refusal for the stated reason may pass by itself
// before the request's deadline.
func mayPass(reason ctoutcome.Reason) bool {
	switch reason {
	case ctoutcome.ReasonNotHolder, ctoutcome.ReasonHolderUnreachable, ctoutcome.ReasonNoLease,
		ctoutcome.ReasonLeaving, ctoutcome.ReasonConnectFailed, ctoutcome.ReasonNoPrimary:
		return true
	default:
		return false
	}
}

// breakOff handles a way that failed before the answer was complete.
func (s *Session) breakOff(world *Environment, e StreamFailed) []Effect {
	if s.stage != stageRunning {
		return nil
	}
	switch {
	case !e.Sent:
		return s.refuse(world, Refused{Reason: e.Reason})
	case s.transaction:
		return s.hangup(world, ctoutcome.Unknown{Reason: e.Reason}, DisconnectTransactionLost)
	case s.harmless() && !e.Relayed:
		s.asked.sent = s.asked.key != ""
		return append([]Effect{CloseStream{}}, s.again(world, e.Reason)...)
	}
	return append([]Effect{CloseStream{}}, s.fail(world, ctoutcome.Unknown{Reason: e.Reason})...)
}

// harmless reports whether the request in hand can be sent again after it was
// sent once: it can't have written anything, or its record keeps it from running
// twice.
func (s *Session) harmless() bool {
	if s.asked.key != "" {
		return true
	}
	switch s.asked.class {
	case ctstatement.Begin, ctstatement.BeginReadOnly, ctstatement.Empty:
		return true
	default:
		return s.onReplica()
	}
}

// fail ends the request in hand with an outcome other than Ran. That a later try
// did not run tells nothing of an earlier one that was sent.
func (s *Session) fail(world *Environment, outcome ctoutcome.Outcome) []Effect {
	if s.asked.sent {
		outcome = ctoutcome.Unknown{Reason: ctoutcome.ReasonOf(outcome)}
	}
	if s.transaction {
		return s.hangup(world, outcome, DisconnectTransactionLost)
	}
	finish := Finish{Request: s.request(world), Outcome: outcome, Seen: s.Seen}
	return append([]Effect{finish}, s.rest(world)...)
}
