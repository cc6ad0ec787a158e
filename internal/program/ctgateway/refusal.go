package ctgateway

import (
	"fmt"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
)

// refusal is why a statement was refused: a value of the log key "why".
type refusal string

// waitOrRefuse waits for a while when no member may run the statement, and returns
// nil. It returns a refusal if the statement must not wait any longer, or if all members that
// may run it are known to have no room in time.
func (s *session) waitOrRefuse(e *execution) ctdialog.Result {
	now := s.gateway.Clock.Now()
	pause := e.retryPause(s.gateway.Pools.Random)
	noRoom := e.tried.Len() > 0 && e.tried.Len() == e.exhausted.Len()
	if noRoom {
		result := s.refuse(e)
		e.refusal = refusalNoRoom
		return result
	}
	if e.attempts >= maxAttempts || !now.Add(pause).Before(s.sendDeadline(e, now)) {
		return s.refuse(e)
	}
	e.tried, e.exhausted = ctset.Set[ctid.Member]{}, ctset.Set[ctid.Member]{}
	<-s.gateway.Clock.After(pause)
	return nil
}

// refuse returns the result of a statement that no member can run in time. Only a
// statement that did not run, or that only read, may be refused.
func (s *session) refuse(e *execution) ctdialog.Result {
	e.refusal = refusalNoMember
	fault := ctquery.FaultBusy
	if e.lastFault == ctquery.FaultBehind {
		fault = e.lastFault
	}
	text := "no member can run this now; " + s.retryText(s.expectedRetry(e))
	return ctdialog.Refused{Fault: fault, Text: text}
}

// expectedRetry returns after how long another attempt can succeed: when the change of the primary
// should be complete, or after the wait at the members that had no room.
func (s *session) expectedRetry(e *execution) time.Duration {
	group := s.gateway.State.View(&s.held).Groups[s.route.Group]
	changeEnd := s.gateway.expectedChangeEnd(&s.held, group).Sub(s.gateway.Clock.Now())
	switch {
	case e.run.Primary && changeEnd > 0:
		return changeEnd
	case e.retryAfter > 0:
		return e.retryAfter
	}
	return defaultRetryAfter
}

// retryText returns the part of a refusal's text that says when to retry.
func (s *session) retryText(wait time.Duration) string {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	wait += time.Duration(s.gateway.Pools.Random.Int64N(int64(wait) / retryJitterDivisor))
	return fmt.Sprintf("retry after %d ms", wait.Milliseconds())
}

// refuseRateLimited returns the result of an operation over the rate limit of its workspace.
func (s *session) refuseRateLimited(e *execution) ctdialog.Result {
	e.refusal = refusalRateLimited
	s.gateway.Metrics.RateLimited.Inc()
	return ctdialog.Refused{
		Fault: ctquery.FaultBusy, Text: "the rate limit of the workspace is reached; " + s.retryText(rateLimitRetryAfter),
	}
}
