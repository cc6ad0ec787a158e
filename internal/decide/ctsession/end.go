package ctsession

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
)

// rest returns the session to idleness, or ends it where the proxy is to stop.
func (s *Session) rest(world *Environment) []Effect {
	s.stage = stageIdle
	if s.draining {
		return s.hangup(world, ctoutcome.NotRun{Reason: ctoutcome.ReasonLeaving}, DisconnectDrain)
	}
	return []Effect{s.armIdle(world)}
}

func (s *Session) hangup(world *Environment, outcome ctoutcome.Outcome, why DisconnectReason) []Effect {
	s.stage = stageEnded
	return []Effect{CloseStream{}, Disconnect{Request: s.request(world), Outcome: outcome, Reason: why}}
}

// idle ends a session whose deadline passed between requests.
func (s *Session) idle(world *Environment) []Effect {
	switch s.stage {
	case stageIdle:
		return s.hangup(world, ctoutcome.NotRun{Reason: ctoutcome.ReasonIdleTimeout}, DisconnectIdle)
	case stageOpen:
		return s.hangup(world, ctoutcome.NotRun{Reason: ctoutcome.ReasonIdleTimeout}, DisconnectTransactionIdle)
	default:
		return nil
	}
}

func (s *Session) leave() []Effect {
	s.stage = stageEnded
	return []Effect{CloseStream{}}
}

// drain ends an idle session; one with work in hand ends after it.
func (s *Session) drain(world *Environment) []Effect {
	s.draining = true
	if s.stage != stageIdle {
		return nil
	}
	return s.hangup(world, ctoutcome.NotRun{Reason: ctoutcome.ReasonLeaving}, DisconnectDrain)
}

func (s *Session) armIdle(world *Environment) Effect {
	return StartIdleTimer{Timeout: s.settings(world).Sessions.IdleTimeout.Or(ctconfig.DefaultIdleTimeout)}
}

func (s *Session) armTransaction(world *Environment) Effect {
	return StartIdleTimer{Timeout: s.settings(world).Sessions.TransactionTimeout.Or(ctconfig.DefaultTransactionTimeout)}
}
