package ctsession

import (
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctretry"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctroute"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctstatement"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// Step takes one event and returns the effects to perform, in order.
func (s *Session) Step(world *Environment, event Event) []Effect {
	if s.stage == stageEnded {
		return nil
	}
	switch e := event.(type) {
	case Started:
		return []Effect{s.armIdle(world)}
	case RequestReceived:
		return s.ask(world, e)
	case Answered:
		return s.answer(world, e)
	case Refused:
		return s.refuse(world, e)
	case StreamFailed:
		return s.breakOff(world, e)
	case RetryTimerFired:
		return s.wake(world)
	case IdleTimerFired:
		return s.idle(world)
	case CallerClosed:
		return s.leave()
	case DrainRequested:
		return s.drain(world)
	}
	return nil
}

func (s *Session) ask(world *Environment, e RequestReceived) []Effect {
	s.sequence++
	settings := s.settings(world)
	s.asked = request{
		class:    e.Class,
		key:      e.Key,
		deadline: world.Now.Add(settings.Sessions.RequestTimeout.Or(ctconfig.DefaultRequestTimeout)),
		age:      s.MaxAge.Or(settings.Reads.MaxAge.Or(ctconfig.DefaultMaxAge)),
		primary:  settings.Reads.PlainSelects == ctconfig.SelectTargetPrimary && !s.ReadOnly && e.Class == ctstatement.Select,
	}
	if e.InvalidKey || (e.Key != "" && !s.mayHaveKey(e.Class)) {
		return s.fail(world, ctoutcome.NotRun{Reason: ctoutcome.ReasonIdempotencyKeyUnusable})
	}
	if reason := refusedClass(e.Class); reason != ctoutcome.ReasonNone {
		return s.fail(world, ctoutcome.NotRun{Reason: reason})
	}
	if s.transaction {
		return s.proceed(world)
	}
	world.RetryBudget.Deposit()
	return s.dispatch(world)
}

// mayHaveKey reports whether a request of the class may have an idempotency key:
// its record is written in the transaction of the one statement.
func (s *Session) mayHaveKey(class ctstatement.Class) bool {
	return !s.transaction && !s.ReadOnly && (class == ctstatement.Write || class == ctstatement.Select)
}

// refusedClass returns why a class of request is never carried.
func refusedClass(class ctstatement.Class) ctoutcome.Reason {
	switch class {
	case ctstatement.Copy:
		return ctoutcome.ReasonCopyNotSupported
	case ctstatement.SessionState:
		return ctoutcome.ReasonSessionStateNotSupported
	default:
		return ctoutcome.ReasonNone
	}
}

// proceed sends the next request of an open transaction.
func (s *Session) proceed(world *Environment) []Effect {
	s.stage = stageRunning
	return []Effect{Send{
		Request:      s.request(world),
		Route:        s.route,
		ReadOnly:     s.readOnly(),
		StartTimeout: s.asked.deadline.Sub(world.Now),
		SameStream:   true,
	}}
}

// dispatch chooses a member for the request in hand and sends it.
func (s *Session) dispatch(world *Environment) []Effect {
	choice := ctroute.Choose(world.View, world.Hints, ctroute.Request{
		Now:            world.Now,
		Group:          s.Group,
		ReplicaAllowed: s.mayUseReplica(),
		Seen:           s.Seen,
		FailureDomain:  world.FailureDomain,
		Tried:          s.asked.tried,
		Attempt:        s.asked.tries,
	})
	switch c := choice.(type) {
	case ctroute.Send:
		if !world.Throttles.Allow(c.Member) {
			return s.passOver(world, c)
		}
		return s.send(world, c)
	case ctroute.Refuse:
		if c.Retryable {
			return s.wait(world, c.Reason)
		}
		return s.fail(world, ctoutcome.NotRun{Reason: c.Reason})
	}
	return nil
}

// passOver looks for another member than one that is overloaded.
func (s *Session) passOver(world *Environment, route Route) []Effect {
	if route.Role != ctserver.RoleReplica {
		return s.fail(world, ctoutcome.NotRun{Reason: ctoutcome.ReasonOverloaded})
	}
	s.asked.tried.Add(route.Member)
	return s.dispatch(world)
}

func (s *Session) send(world *Environment, route Route) []Effect {
	s.stage = stageRunning
	s.route = route
	send := Send{
		Request:      s.request(world),
		Route:        route,
		ReadOnly:     s.readOnly(),
		Key:          s.asked.key,
		MinPoint:     s.Seen,
		StartTimeout: s.asked.deadline.Sub(world.Now),
	}
	if s.onReplica() {
		send.MaxAge = s.asked.age
	}
	return []Effect{send}
}

// mayUseReplica reports whether the request in hand may be tried on a replica.
func (s *Session) mayUseReplica() bool {
	if s.asked.primary || s.asked.key != "" {
		return false
	}
	switch s.asked.class {
	case ctstatement.Select, ctstatement.BeginReadOnly, ctstatement.Empty:
		return true
	default:
		return s.ReadOnly
	}
}

// wait puts the request in hand off until a member may be found for it.
func (s *Session) wait(world *Environment, reason ctoutcome.Reason) []Effect {
	wait := ctretry.Backoff(s.asked.tries, world.Random)
	if !world.Now.Add(wait).Before(s.asked.deadline) {
		return s.fail(world, ctoutcome.NotRun{Reason: reason})
	}
	s.stage = stageWaiting
	return []Effect{StartRetryTimer{Delay: wait}}
}

func (s *Session) wake(world *Environment) []Effect {
	if s.stage != stageWaiting {
		return nil
	}
	return s.dispatch(world)
}

// onReplica reports whether the request in hand was sent to a replica.
func (s *Session) onReplica() bool {
	return s.route.Role == ctserver.RoleReplica
}

// readOnly reports whether the request in hand must not write.
func (s *Session) readOnly() bool {
	return s.ReadOnly || s.onReplica()
}
