package ctsession

import (
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctretry"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctroute"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctstatement"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// Step handles one event and returns the effects to perform, in order. An event
// that doesn't apply to the session's state has no effects.
func (s *Session) Step(env *Environment, event Event) []Effect {
	if s.stage == stageEnded {
		return nil
	}
	switch e := event.(type) {
	case Started:
		return []Effect{s.startIdleTimer(env)}
	case RequestReceived:
		return s.handleRequest(env, e)
	case Answered:
		return s.handleAnswer(env, e)
	case Refused:
		return s.handleRefusal(env, e)
	case StreamFailed:
		return s.handleStreamFailure(env, e)
	case RetryTimerFired:
		return s.handleRetryTimer(env)
	case IdleTimerFired:
		return s.handleIdleTimer(env)
	case CallerClosed:
		return s.handleCallerClosed()
	case DrainRequested:
		return s.handleDrain(env)
	case TransactionsDue:
		s.draining, s.transactionsDue = true, true
		return nil
	case RequestsDue:
		return s.handleRequestsDue(env)
	}
	return nil
}

// handleRequest starts a new current request and sends it.
func (s *Session) handleRequest(env *Environment, e RequestReceived) []Effect {
	s.sequence++
	settings := s.settings(env)
	s.current = requestState{
		class:    e.Class,
		key:      e.Key,
		deadline: env.Now.Add(settings.Sessions.RequestTimeout.Or(ctconfig.DefaultRequestTimeout)),
		maxAge:   s.MaxAge.Or(settings.Reads.MaxAge.Or(ctconfig.DefaultMaxAge)),
		primaryOnly: settings.Reads.PlainSelects == ctconfig.SelectTargetPrimary && !s.ReadOnly &&
			e.Class == ctstatement.Select,
	}
	if s.requestsDue || (s.transactionsDue && s.inTransaction && e.Class != ctstatement.End) {
		return s.disconnect(env, ctoutcome.NotRun{Reason: ctoutcome.ReasonLeaving}, DisconnectDrain)
	}
	if e.InvalidKey || (e.Key != "" && !s.keyAllowed(e.Class)) {
		return s.fail(env, ctoutcome.NotRun{Reason: ctoutcome.ReasonIdempotencyKeyUnusable})
	}
	if reason := unsupportedReason(e.Class); reason != ctoutcome.ReasonNone {
		return s.fail(env, ctoutcome.NotRun{Reason: reason})
	}
	if s.inTransaction {
		return s.sendInTransaction(env)
	}
	env.RetryBudget.Deposit()
	return s.dispatch(env)
}

// keyAllowed reports whether a request of the class may have an idempotency key.
// The key's record is written in the same transaction as the statement, so the
// request must be a single statement outside a transaction.
func (s *Session) keyAllowed(class ctstatement.Class) bool {
	return !s.inTransaction && !s.ReadOnly && (class == ctstatement.Write || class == ctstatement.Select)
}

// unsupportedReason returns why the proxy rejects all requests of a class, or
// ReasonNone if it supports them.
func unsupportedReason(class ctstatement.Class) ctoutcome.Reason {
	switch class {
	case ctstatement.Copy:
		return ctoutcome.ReasonCopyNotSupported
	case ctstatement.SessionState:
		return ctoutcome.ReasonSessionStateNotSupported
	default:
		return ctoutcome.ReasonNone
	}
}

// sendInTransaction sends the next request of an open transaction.
func (s *Session) sendInTransaction(env *Environment) []Effect {
	s.stage = stageRunning
	return []Effect{Send{
		Request:      s.requestID(env),
		Route:        s.route,
		ReadOnly:     s.readOnly(),
		StartTimeout: s.current.deadline.Sub(env.Now),
		SameStream:   true,
	}}
}

// dispatch chooses a member for the current request and sends the request to it.
func (s *Session) dispatch(env *Environment) []Effect {
	choice := ctroute.Choose(env.View, env.Hints, ctroute.Request{
		Now:            env.Now,
		Group:          s.Group,
		ReplicaAllowed: s.mayUseReplica(),
		Seen:           s.Seen,
		FailureDomain:  env.FailureDomain,
		Tried:          s.current.tried,
		Attempt:        s.current.primaryFailures,
	})
	switch c := choice.(type) {
	case ctroute.Send:
		if !env.Throttles.Allow(c.Member) {
			return s.skipOverloaded(env, c)
		}
		return s.send(env, c)
	case ctroute.Refuse:
		if c.Retryable {
			return s.scheduleRetry(env, c.Reason)
		}
		return s.fail(env, ctoutcome.NotRun{Reason: c.Reason})
	}
	return nil
}

// skipOverloaded chooses another member instead of an overloaded replica. If the
// primary is overloaded, the request fails.
func (s *Session) skipOverloaded(env *Environment, route Route) []Effect {
	if route.Role != ctserver.RoleReplica {
		return s.fail(env, ctoutcome.NotRun{Reason: ctoutcome.ReasonOverloaded})
	}
	s.current.tried.Add(route.Member)
	return s.dispatch(env)
}

// send sends the current request along the route.
func (s *Session) send(env *Environment, route Route) []Effect {
	s.stage = stageRunning
	s.route = route
	send := Send{
		Request:      s.requestID(env),
		Route:        route,
		ReadOnly:     s.readOnly(),
		Key:          s.current.key,
		MinPoint:     s.Seen,
		StartTimeout: s.current.deadline.Sub(env.Now),
	}
	if s.onReplica() {
		send.MaxAge = s.current.maxAge
	}
	return []Effect{send}
}

// mayUseReplica reports whether the current request may be tried on a replica.
func (s *Session) mayUseReplica() bool {
	if s.current.primaryOnly || s.current.key != "" {
		return false
	}
	switch s.current.class {
	case ctstatement.Select, ctstatement.BeginReadOnly, ctstatement.Empty:
		return true
	default:
		return s.ReadOnly
	}
}

// scheduleRetry starts the retry timer, or ends the current request if its
// deadline would pass first.
func (s *Session) scheduleRetry(env *Environment, reason ctoutcome.Reason) []Effect {
	delay := ctretry.Backoff(s.current.primaryFailures, env.Random)
	if !env.Now.Add(delay).Before(s.current.deadline) {
		return s.fail(env, ctoutcome.NotRun{Reason: reason})
	}
	s.stage = stageWaiting
	return []Effect{StartRetryTimer{Delay: delay}}
}

// handleRetryTimer tries the waiting request again.
func (s *Session) handleRetryTimer(env *Environment) []Effect {
	if s.stage != stageWaiting {
		return nil
	}
	return s.dispatch(env)
}

// onReplica reports whether the session's last route leads to a replica.
func (s *Session) onReplica() bool {
	return s.route.Role == ctserver.RoleReplica
}

// readOnly reports whether the current request must not write.
func (s *Session) readOnly() bool {
	return s.ReadOnly || s.onReplica()
}
