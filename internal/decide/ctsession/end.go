package ctsession

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
)

// rest returns the session to idleness, or ends it where the proxy is to stop.
func (s *Session) rest(world *World) []Effect {
	s.stage = stageIdle
	if s.draining {
		return s.hangup(world, ctoutcome.NotRun{Reason: ctoutcome.ReasonLeaving}, HangupDrain)
	}
	return []Effect{s.armIdle(world)}
}

func (s *Session) hangup(world *World, outcome ctoutcome.Outcome, why HangupReason) []Effect {
	s.stage = stageEnded
	return []Effect{Release{}, Hangup{Request: s.request(world), Outcome: outcome, Why: why}}
}

// idle ends a session whose deadline passed between requests.
func (s *Session) idle(world *World) []Effect {
	switch s.stage {
	case stageIdle:
		return s.hangup(world, ctoutcome.NotRun{Reason: ctoutcome.ReasonIdleTimeout}, HangupIdle)
	case stageOpen:
		return s.hangup(world, ctoutcome.NotRun{Reason: ctoutcome.ReasonIdleTimeout}, HangupTransactionIdle)
	default:
		return nil
	}
}

func (s *Session) leave() []Effect {
	s.stage = stageEnded
	return []Effect{Release{}}
}

// drain ends an idle session; one with work in hand ends after it.
func (s *Session) drain(world *World) []Effect {
	s.draining = true
	if s.stage != stageIdle {
		return nil
	}
	return s.hangup(world, ctoutcome.NotRun{Reason: ctoutcome.ReasonLeaving}, HangupDrain)
}

func (s *Session) armIdle(world *World) Effect {
	return Arm{For: s.settings(world).Sessions.IdleTimeout.Or(ctconfig.DefaultIdleTimeout)}
}

func (s *Session) armTransaction(world *World) Effect {
	return Arm{For: s.settings(world).Sessions.TransactionTimeout.Or(ctconfig.DefaultTransactionTimeout)}
}
