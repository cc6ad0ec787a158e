package ctsession

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctretry"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctroute"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctstatement"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Route is where a request goes.
type Route = ctroute.Send

// Throttles say what may be sent to members.
type Throttles interface {
	// Allow reports whether to send a request to the member.
	Allow(member ctid.Member) bool
	// RecordAnswer notes whether the member took a request that was sent, or
	// refused it because of its load.
	RecordAnswer(member ctid.Member, accepted bool)
}

// Environment is what a step may look at besides the session.
type Environment struct {
	Now    time.Time
	View   *ctview.View
	Hints  ctroute.Hints
	Random ctretry.Random
	// RetryBudget limits the retries of the whole proxy.
	RetryBudget ctretry.Limiter
	// Throttles limit what is sent to members that are overloaded.
	Throttles Throttles
	// Proxy, Incarnation and Domain describe the proxy that serves the
	// session.
	Proxy         ctid.Proxy
	Incarnation   ctid.Incarnation
	FailureDomain ctid.FailureDomain
}

// stage tells what a session is doing.
type stage uint8

const (
	// stageIdle means that neither a request nor a transaction is open.
	stageIdle stage = iota
	// stageWaiting means that a request waits to be tried again.
	stageWaiting
	// stageRunning means that a request was sent.
	stageRunning
	// stageInTransaction means that a transaction is open and no request runs.
	stageInTransaction
	// stageEnded means that the session is over.
	stageEnded
)

// Session is a caller's session. The exported fields are set at its start; the
// zero value of the others is that of a session that asked nothing yet.
type Session struct {
	ID     ctid.Session
	Group  ctid.Group
	Caller ctid.Caller
	// ReadOnly reports whether the caller declared all its requests reads.
	ReadOnly bool
	// MaxAge is the age that the caller accepts for reads, where it stated one.
	MaxAge ctset.Option[time.Duration]
	// Seen covers what the session has read and written.
	Seen ctposition.Point

	sequence      ctid.Sequence
	stage         stage
	draining      bool
	inTransaction bool
	current       requestState
	route         Route
}

// requestState is the state of the request in hand.
type requestState struct {
	class    ctstatement.Class
	key      ctid.IdempotencyKey
	deadline time.Time
	tried    ctset.Set[ctid.Member]
	// primaryFailures counts the refusals of primaries.
	primaryFailures int
	// primaryOnly reports that the request proved to need the primary.
	primaryOnly bool
	// mayHaveRun reports that the request, which has an idempotency key, was sent once
	// and may have run.
	mayHaveRun bool
	// maxAge is the accepted age.
	maxAge time.Duration
}

// settings returns the settings that hold for the session.
func (s *Session) settings(env *Environment) ctconfig.Settings {
	return env.View.Config.Document.EffectiveSettings(s.Group, env.Now)
}

// requestID identifies the request in hand.
func (s *Session) requestID(env *Environment) ctid.Request {
	return ctid.Request{
		Proxy:       env.Proxy,
		Incarnation: env.Incarnation,
		Session:     s.ID,
		Sequence:    s.sequence,
	}
}
