package ctsession

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
)

// returnToIdle waits for the caller's next request, or ends the session if the
// proxy is stopping.
func (s *Session) returnToIdle(env *Environment) []Effect {
	s.stage = stageIdle
	if s.draining {
		return s.disconnect(env, ctoutcome.NotRun{Reason: ctoutcome.ReasonLeaving}, DisconnectDrain)
	}
	return []Effect{s.startIdleTimer(env)}
}

// disconnect ends the session and closes the caller's connection.
func (s *Session) disconnect(env *Environment, outcome ctoutcome.Outcome, reason DisconnectReason) []Effect {
	s.stage = stageEnded
	return []Effect{CloseStream{}, Disconnect{Request: s.requestID(env), Outcome: outcome, Reason: reason}}
}

// handleIdleTimer ends a session that is waiting for a request. While a request
// waits or runs, the timer has no effect.
func (s *Session) handleIdleTimer(env *Environment) []Effect {
	switch s.stage {
	case stageIdle:
		return s.disconnect(env, ctoutcome.NotRun{Reason: ctoutcome.ReasonIdleTimeout}, DisconnectIdle)
	case stageInTransaction:
		return s.disconnect(env, ctoutcome.NotRun{Reason: ctoutcome.ReasonIdleTimeout}, DisconnectTransactionIdle)
	default:
		return nil
	}
}

// handleCallerClosed ends the session. The caller can't receive an outcome any
// more.
func (s *Session) handleCallerClosed() []Effect {
	s.stage = stageEnded
	return []Effect{CloseStream{}}
}

// handleDrain ends an idle session at once. Otherwise the session ends after its
// current request or transaction.
func (s *Session) handleDrain(env *Environment) []Effect {
	s.draining = true
	if s.stage != stageIdle {
		return nil
	}
	return s.disconnect(env, ctoutcome.NotRun{Reason: ctoutcome.ReasonLeaving}, DisconnectDrain)
}

// handleRequestsDue ends the session: at once if no request runs, else with the failure of
// the running one.
func (s *Session) handleRequestsDue(env *Environment) []Effect {
	s.draining, s.transactionsDue, s.requestsDue = true, true, true
	switch s.stage {
	case stageRunning:
		return []Effect{AbortRequest{}}
	case stageWaiting:
		return s.fail(env, ctoutcome.NotRun{Reason: ctoutcome.ReasonLeaving})
	default:
		return s.disconnect(env, ctoutcome.NotRun{Reason: ctoutcome.ReasonLeaving}, DisconnectDrain)
	}
}

func (s *Session) startIdleTimer(env *Environment) Effect {
	return StartIdleTimer{Timeout: s.settings(env).Sessions.IdleTimeout.Or(ctconfig.DefaultIdleTimeout)}
}

func (s *Session) startTransactionTimer(env *Environment) Effect {
	return StartIdleTimer{Timeout: s.settings(env).Sessions.TransactionTimeout.Or(ctconfig.DefaultTransactionTimeout)}
}
