package ctsession_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctretry"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctroute"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsession"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctstatement"
	"github.com/cherviltrestle/cherviltrestle/internal/fleet/ctholder"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// midpointRandom always returns the middle of the requested range.
type midpointRandom struct{}

func (midpointRandom) Int64N(n int64) int64 {
	return n / 2
}

// fakeThrottles refuses requests to the overloaded members and records answers.
type fakeThrottles struct {
	overloaded ctset.Set[ctid.Member]
	accepted   []bool
}

func (t *fakeThrottles) Allow(member ctid.Member) bool {
	return !t.overloaded.Has(member)
}

func (t *fakeThrottles) RecordAnswer(_ ctid.Member, accepted bool) {
	t.accepted = append(t.accepted, accepted)
}

// newEnvironment returns an environment with three failure domains of one proxy and
// one member each. member-a is the primary; proxy-b serves the session.
func newEnvironment(t *testing.T) *ctsession.Environment {
	t.Helper()
	delta := &ctview.Delta{To: 1, Groups: []ctview.Group{{Name: "fit-registry", Term: 1, Primary: "member-a"}}}
	for _, domain := range []ctid.FailureDomain{"a", "b", "c"} {
		delta.Proxies = append(delta.Proxies, ctview.Proxy{
			Name: ctid.Proxy("proxy-" + domain), FailureDomain: domain,
			Address: netip.MustParseAddrPort("127.0.0.1:1"), State: ctserver.StateReady,
		})
		delta.Members = append(delta.Members, ctserver.Announcement{
			Group: "fit-registry", Member: ctid.Member("member-" + domain), FailureDomain: domain,
			State: ctserver.StateReady,
		})
	}
	view, err := (&ctview.View{}).Apply(delta)
	assert.NilError(t, err)
	return &ctsession.Environment{
		Now: time.Unix(0, 0), View: view, Hints: ctroute.HintMap{}, Random: midpointRandom{}, RetryBudget: &ctretry.Budget{},
		Throttles: &fakeThrottles{},
		Proxy:     "proxy-b", FailureDomain: "b",
	}
}

// addProxies adds three proxies to a failure domain.
func addProxies(t *testing.T, env *ctsession.Environment, domain ctid.FailureDomain) {
	t.Helper()
	delta := &ctview.Delta{From: env.View.Version, To: env.View.Version + 1}
	for _, name := range []ctid.Proxy{"proxy-x", "proxy-y", "proxy-z"} {
		delta.Proxies = append(delta.Proxies, ctview.Proxy{
			Name: name, FailureDomain: domain,
			Address: netip.MustParseAddrPort("127.0.0.1:1"), State: ctserver.StateReady,
		})
	}
	view, err := env.View.Apply(delta)
	assert.NilError(t, err)
	env.View = view
}

func newSession() *ctsession.Session {
	return &ctsession.Session{ID: 1, Group: "fit-registry", Caller: "lab"}
}

// findEffect returns the first effect of type E and fails the test without one.
func findEffect[E ctsession.Effect](t *testing.T, effects []ctsession.Effect) E {
	t.Helper()
	for _, e := range effects {
		if found, ok := e.(E); ok {
			return found
		}
	}
	var none E
	t.Fatalf("no %T among %#v", none, effects)
	return none
}

func assertSent(t *testing.T, effects []ctsession.Effect, member ctid.Member) {
	t.Helper()
	assert.Equal(t, findEffect[ctsession.Send](t, effects).Route.Member, member)
}

func assertFinished(t *testing.T, effects []ctsession.Effect, want ctoutcome.Outcome) {
	t.Helper()
	assert.Equal(t, findEffect[ctsession.Finish](t, effects).Outcome, want)
}

func assertDisconnected(t *testing.T, effects []ctsession.Effect, want ctoutcome.Outcome) {
	t.Helper()
	assert.Equal(t, findEffect[ctsession.Disconnect](t, effects).Outcome, want)
}

func TestRouting(t *testing.T) {
	t.Run("a write goes to the primary", func(t *testing.T) {
		assertSent(t, newSession().Step(newEnvironment(t), ctsession.RequestReceived{Class: ctstatement.Write}), "member-a")
	})
	t.Run("a select goes to the replica in the proxy's failure domain", func(t *testing.T) {
		assertSent(t, newSession().Step(newEnvironment(t), ctsession.RequestReceived{Class: ctstatement.Select}), "member-b")
	})
	t.Run("a select that turns out to write goes to the primary", func(t *testing.T) {
		s, env := newSession(), newEnvironment(t)
		s.Step(env, ctsession.RequestReceived{Class: ctstatement.Select})
		assertSent(t, s.Step(env, ctsession.Refused{Reason: ctoutcome.ReasonReadOnly}), "member-a")
	})
	t.Run("a write in a read-only session fails", func(t *testing.T) {
		s, env := newSession(), newEnvironment(t)
		s.ReadOnly = true
		s.Step(env, ctsession.RequestReceived{Class: ctstatement.Write})
		assertFinished(t, s.Step(env, ctsession.Refused{Reason: ctoutcome.ReasonReadOnly}),
			ctoutcome.NotRun{Reason: ctoutcome.ReasonReadOnly})
	})
	t.Run("a read goes to the primary's holder after all replicas refused it", func(t *testing.T) {
		s, env := newSession(), newEnvironment(t)
		addProxies(t, env, "a")
		holder, ok := ctholder.Of(env.View, "member-a")
		assert.Assert(t, ok)
		s.Step(env, ctsession.RequestReceived{Class: ctstatement.Select})
		stale := ctsession.Refused{Reason: ctoutcome.ReasonStale}
		s.Step(env, stale)
		effects := s.Step(env, stale)
		assertSent(t, effects, "member-a")
		assert.Equal(t, findEffect[ctsession.Send](t, effects).Route.Holder.Name, holder.Name)
	})
	t.Run("each replica is tried once before the primary", func(t *testing.T) {
		s, env := newSession(), newEnvironment(t)
		s.Step(env, ctsession.RequestReceived{Class: ctstatement.Select})
		behind := ctsession.Refused{Reason: ctoutcome.ReasonBehind}
		assertSent(t, s.Step(env, behind), "member-c")
		assertSent(t, s.Step(env, behind), "member-a")
	})
	t.Run("a replica whose last hint was behind the session is tried last", func(t *testing.T) {
		s, env := newSession(), newEnvironment(t)
		s.Seen = ctposition.Point{Term: 1, Position: 64}
		env.Hints = ctroute.HintMap{"member-b": {}, "member-c": {Applied: s.Seen}}
		assertSent(t, s.Step(env, ctsession.RequestReceived{Class: ctstatement.Select}), "member-c")
	})
}

func TestOutcomes(t *testing.T) {
	unknown := ctoutcome.Unknown{Reason: ctoutcome.ReasonConnectionLost}
	lost := ctsession.StreamFailed{Reason: ctoutcome.ReasonConnectionLost, Sent: true}
	t.Run("a write that was sent and not answered is unknown and not retried", func(t *testing.T) {
		s, env := newSession(), newEnvironment(t)
		s.Step(env, ctsession.RequestReceived{Class: ctstatement.Write})
		assertFinished(t, s.Step(env, lost), unknown)
	})
	t.Run("a select that was sent to the primary is unknown too", func(t *testing.T) {
		s, env := newSession(), newEnvironment(t)
		s.Step(env, ctsession.RequestReceived{Class: ctstatement.Select})
		s.Step(env, ctsession.Refused{Reason: ctoutcome.ReasonReadOnly})
		assertFinished(t, s.Step(env, lost), unknown)
	})
	t.Run("an unanswered read on a replica is retried on another one", func(t *testing.T) {
		s, env := newSession(), newEnvironment(t)
		s.Step(env, ctsession.RequestReceived{Class: ctstatement.Select})
		assertSent(t, s.Step(env, lost), "member-c")
	})
	t.Run("a read whose answer was partly relayed is not retried", func(t *testing.T) {
		s, env := newSession(), newEnvironment(t)
		s.Step(env, ctsession.RequestReceived{Class: ctstatement.Select})
		relayed := lost
		relayed.Relayed = true
		assertFinished(t, s.Step(env, relayed), unknown)
	})
	t.Run("a write that was not sent is retried after a delay", func(t *testing.T) {
		s, env := newSession(), newEnvironment(t)
		s.Step(env, ctsession.RequestReceived{Class: ctstatement.Write})
		wait := findEffect[ctsession.StartRetryTimer](t,
			s.Step(env, ctsession.StreamFailed{Reason: ctoutcome.ReasonHolderUnreachable}))
		assert.Assert(t, wait.Delay > 0)
		findEffect[ctsession.Send](t, s.Step(env, ctsession.RetryTimerFired{}))
	})
	t.Run("a write that can't be sent before its deadline is not run", func(t *testing.T) {
		s, env := newSession(), newEnvironment(t)
		s.Step(env, ctsession.RequestReceived{Class: ctstatement.Write})
		env.Now = env.Now.Add(time.Hour)
		assertFinished(t, s.Step(env, ctsession.Refused{Reason: ctoutcome.ReasonNoLease}),
			ctoutcome.NotRun{Reason: ctoutcome.ReasonNoLease})
	})
	t.Run("a refused write is not retried once the retry budget is empty", func(t *testing.T) {
		s, env := newSession(), newEnvironment(t)
		for env.RetryBudget.TryWithdraw() {
			continue
		}
		s.Step(env, ctsession.RequestReceived{Class: ctstatement.Write})
		env.RetryBudget.TryWithdraw()
		assertFinished(t, s.Step(env, ctsession.Refused{Reason: ctoutcome.ReasonNoLease}),
			ctoutcome.NotRun{Reason: ctoutcome.ReasonNoLease})
	})
}

func TestTransactions(t *testing.T) {
	open := func(t *testing.T) (*ctsession.Session, *ctsession.Environment) {
		t.Helper()
		s, env := newSession(), newEnvironment(t)
		s.Step(env, ctsession.RequestReceived{Class: ctstatement.Begin})
		s.Step(env, ctsession.Answered{InTransaction: true})
		return s, env
	}
	t.Run("stay with their member", func(t *testing.T) {
		s, env := open(t)
		send := findEffect[ctsession.Send](t, s.Step(env, ctsession.RequestReceived{Class: ctstatement.Select}))
		assert.Assert(t, send.SameStream)
		assert.Equal(t, send.Route.Member, ctid.Member("member-a"))
	})
	t.Run("end the session when their stream fails", func(t *testing.T) {
		s, env := open(t)
		s.Step(env, ctsession.RequestReceived{Class: ctstatement.Write})
		assertDisconnected(t, s.Step(env, ctsession.StreamFailed{Reason: ctoutcome.ReasonConnectionLost, Sent: true}),
			ctoutcome.Unknown{Reason: ctoutcome.ReasonConnectionLost})
	})
	t.Run("end the session at the idle timeout", func(t *testing.T) {
		s, env := open(t)
		assertDisconnected(t, s.Step(env, ctsession.IdleTimerFired{}), ctoutcome.NotRun{Reason: ctoutcome.ReasonIdleTimeout})
	})
	t.Run("may finish when the proxy drains", func(t *testing.T) {
		s, env := open(t)
		assert.Equal(t, len(s.Step(env, ctsession.DrainRequested{})), 0)
		s.Step(env, ctsession.RequestReceived{Class: ctstatement.End})
		effects := s.Step(env, ctsession.Answered{Point: ctposition.Point{Term: 1, Position: 64}})
		findEffect[ctsession.Finish](t, effects)
		assertDisconnected(t, effects, ctoutcome.NotRun{Reason: ctoutcome.ReasonLeaving})
	})
}

// TestStopDue guards against a planned stop that ends with requests unanswered.
func TestStopDue(t *testing.T) {
	open := func(t *testing.T) (*ctsession.Session, *ctsession.Environment) {
		s, env := newSession(), newEnvironment(t)
		s.Step(env, ctsession.RequestReceived{Class: ctstatement.Begin})
		s.Step(env, ctsession.Answered{InTransaction: true})
		s.Step(env, ctsession.DrainRequested{})
		s.Step(env, ctsession.TransactionsDue{})
		return s, env
	}
	leaving := ctoutcome.NotRun{Reason: ctoutcome.ReasonLeaving}
	t.Run("a transaction whose time is over gets no further statement", func(t *testing.T) {
		s, env := open(t)
		assertDisconnected(t, s.Step(env, ctsession.RequestReceived{Class: ctstatement.Write}), leaving)
	})
	t.Run("a transaction whose time is over may end", func(t *testing.T) {
		s, env := open(t)
		findEffect[ctsession.Send](t, s.Step(env, ctsession.RequestReceived{Class: ctstatement.End}))
		effects := s.Step(env, ctsession.Answered{})
		findEffect[ctsession.Finish](t, effects)
		assertDisconnected(t, effects, leaving)
	})
	t.Run("an idle transaction ends", func(t *testing.T) {
		s, env := open(t)
		assertDisconnected(t, s.Step(env, ctsession.RequestsDue{}), leaving)
	})
	t.Run("a running write gets an outcome", func(t *testing.T) {
		s, env := newSession(), newEnvironment(t)
		s.Step(env, ctsession.RequestReceived{Class: ctstatement.Write})
		findEffect[ctsession.AbortRequest](t, s.Step(env, ctsession.RequestsDue{}))
		effects := s.Step(env, ctsession.StreamFailed{Reason: ctoutcome.ReasonConnectionLost, Sent: true})
		assertFinished(t, effects, ctoutcome.Unknown{Reason: ctoutcome.ReasonConnectionLost})
		assertDisconnected(t, effects, leaving)
	})
	t.Run("a request that was not sent is not sent again", func(t *testing.T) {
		s, env := newSession(), newEnvironment(t)
		s.Step(env, ctsession.RequestReceived{Class: ctstatement.Write})
		s.Step(env, ctsession.RequestsDue{})
		effects := s.Step(env, ctsession.Refused{Reason: ctoutcome.ReasonConnectFailed})
		assertFinished(t, effects, leaving)
		assertDisconnected(t, effects, leaving)
	})
}

// keyedWrite returns a write with an idempotency key.
func keyedWrite() ctsession.RequestReceived {
	return ctsession.RequestReceived{Class: ctstatement.Write, Key: "order-1"}
}

func TestThrottles(t *testing.T) {
	// setOverloaded makes the throttles refuse requests to the members.
	setOverloaded := func(env *ctsession.Environment, members ...ctid.Member) {
		throttles := &fakeThrottles{}
		for _, m := range members {
			throttles.overloaded.Add(m)
		}
		env.Throttles = throttles
	}
	t.Run("a read skips an overloaded replica", func(t *testing.T) {
		env := newEnvironment(t)
		setOverloaded(env, "member-b")
		assertSent(t, newSession().Step(env, ctsession.RequestReceived{Class: ctstatement.Select}), "member-c")
	})
	t.Run("a write to an overloaded primary fails without being sent", func(t *testing.T) {
		env := newEnvironment(t)
		setOverloaded(env, "member-a")
		assertFinished(t, newSession().Step(env, ctsession.RequestReceived{Class: ctstatement.Write}),
			ctoutcome.NotRun{Reason: ctoutcome.ReasonOverloaded})
	})
	for _, c := range []struct {
		reason   ctoutcome.Reason
		accepted bool
	}{
		{ctoutcome.ReasonDeadline, false},
		{ctoutcome.ReasonQueueFull, false},
		{ctoutcome.ReasonNoLease, true},
	} {
		t.Run("record a refusal for "+string(c.reason), func(t *testing.T) {
			s, env := newSession(), newEnvironment(t)
			s.Step(env, ctsession.RequestReceived{Class: ctstatement.Write})
			s.Step(env, ctsession.Refused{Reason: c.reason})
			recorded, ok := env.Throttles.(*fakeThrottles)
			assert.Assert(t, ok)
			assert.DeepEqual(t, recorded.accepted, []bool{c.accepted})
		})
	}
}

func TestIdempotencyKey(t *testing.T) {
	lost := ctsession.StreamFailed{Reason: ctoutcome.ReasonConnectionLost, Sent: true}
	t.Run("allows a retry after a lost answer", func(t *testing.T) {
		s, env := newSession(), newEnvironment(t)
		s.Step(env, keyedWrite())
		findEffect[ctsession.StartRetryTimer](t, s.Step(env, lost))
		send := findEffect[ctsession.Send](t, s.Step(env, ctsession.RetryTimerFired{}))
		assert.Equal(t, send.Key, ctid.IdempotencyKey("order-1"))
		effects := s.Step(env, ctsession.Answered{Duplicate: true})
		assertFinished(t, effects, ctoutcome.Ran{Duplicate: true})
	})
	t.Run("leaves the outcome unknown if a later try did not run", func(t *testing.T) {
		s, env := newSession(), newEnvironment(t)
		s.Step(env, keyedWrite())
		s.Step(env, lost)
		s.Step(env, ctsession.RetryTimerFired{})
		env.Now = env.Now.Add(time.Hour)
		effects := s.Step(env, ctsession.Refused{Reason: ctoutcome.ReasonDeadline})
		assertFinished(t, effects, ctoutcome.Unknown{Reason: ctoutcome.ReasonDeadline})
	})
	t.Run("reports not run if nothing was sent", func(t *testing.T) {
		s, env := newSession(), newEnvironment(t)
		s.Step(env, keyedWrite())
		effects := s.Step(env, ctsession.Refused{Reason: ctoutcome.ReasonDeadline})
		assertFinished(t, effects, ctoutcome.NotRun{Reason: ctoutcome.ReasonDeadline})
	})
	t.Run("has no effect on the next request", func(t *testing.T) {
		s, env := newSession(), newEnvironment(t)
		s.Step(env, keyedWrite())
		s.Step(env, lost)
		s.Step(env, ctsession.RetryTimerFired{})
		s.Step(env, ctsession.Answered{})
		s.Step(env, ctsession.RequestReceived{Class: ctstatement.Write})
		effects := s.Step(env, ctsession.Refused{Reason: ctoutcome.ReasonDeadline})
		assertFinished(t, effects, ctoutcome.NotRun{Reason: ctoutcome.ReasonDeadline})
	})
	t.Run("sends a select to the primary", func(t *testing.T) {
		request := ctsession.RequestReceived{Class: ctstatement.Select, Key: "order-1"}
		assertSent(t, newSession().Step(newEnvironment(t), request), "member-a")
	})
	for _, refused := range []ctsession.RequestReceived{
		{Class: ctstatement.Write, InvalidKey: true},
		{Class: ctstatement.Begin, Key: "order-1"},
		{Class: ctstatement.End, Key: "order-1"},
	} {
		t.Run("is refused with "+refused.Class.String(), func(t *testing.T) {
			assertFinished(t, newSession().Step(newEnvironment(t), refused),
				ctoutcome.NotRun{Reason: ctoutcome.ReasonIdempotencyKeyUnusable})
		})
	}
}
