package ctsession

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
)

// returnToIdle returns the session to idleness, or ends it where the proxy is to stop.
func (s *Session) returnToIdle(env *Environment) []Effect {
	s.stage = stageIdle
	if s.draining {
		return s.disconnect(env, ctoutcome.NotRun{Reason: ctoutcome.ReasonLeaving}, DisconnectDrain)
	}
	return []Effect{s.startIdleTimer(env)}
}

func (s *Session) disconnect(env *Environment, outcome ctoutcome.Outcome, reason DisconnectReason) []Effect {
	s.stage = stageEnded
	return []Effect{CloseStream{}, Disconnect{Request: s.requestID(env), Outcome: outcome, Reason: reason}}
}

// handleIdleTimer ends a session whose deadline passed between requests.
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

func (s *Session) handleCallerClosed() []Effect {
	s.stage = stageEnded
	return []Effect{CloseStream{}}
}

// handleDrain ends an idle session; one with work in hand ends after it.
func (s *Session) handleDrain(env *Environment) []Effect {
	s.draining = true
	if s.stage != stageIdle {
		return nil
	}
	return s.disconnect(env, ctoutcome.NotRun{Reason: ctoutcome.ReasonLeaving}, DisconnectDrain)
}

func (s *Session) startIdleTimer(env *Environment) Effect {
	return StartIdleTimer{Timeout: s.settings(env).Sessions.IdleTimeout.Or(ctconfig.DefaultIdleTimeout)}
}

func (s *Session) startTransactionTimer(env *Environment) Effect {
	return StartIdleTimer{Timeout: s.settings(env).Sessions.TransactionTimeout.Or(ctconfig.DefaultTransactionTimeout)}
}
