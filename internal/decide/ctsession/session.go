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

// Route is the member that a request goes to, and the holder that it goes through.
type Route = ctroute.Send

// Throttles limit the requests to overloaded members.
type Throttles interface {
	// Allow reports whether a request may be sent to the member.
	Allow(member ctid.Member) bool
	// RecordAnswer records the result of a request that was sent. accepted is
	// false only if the member refused it because of its load.
	RecordAnswer(member ctid.Member, accepted bool)
}

// Environment is the input of a step besides the session and the event.
type Environment struct {
	Now    time.Time
	View   *ctview.View
	Hints  ctroute.Hints
	Random ctretry.Random
	// RetryBudget limits the retries of the whole proxy.
	RetryBudget ctretry.Limiter
	// Throttles limit the requests to overloaded members.
	Throttles Throttles
	// Proxy, Incarnation and FailureDomain describe the proxy that serves the
	// session.
	Proxy         ctid.Proxy
	Incarnation   ctid.Incarnation
	FailureDomain ctid.FailureDomain
}

// stage is the state of a session's state machine.
type stage uint8

const (
	// stageIdle means that neither a request nor a transaction is open.
	stageIdle stage = iota
	// stageWaiting means that a request waits for its retry timer.
	stageWaiting
	// stageRunning means that a request was sent and is not answered yet.
	stageRunning
	// stageInTransaction means that a transaction is open and no request runs.
	stageInTransaction
	// stageEnded means that the session is over and ignores all events.
	stageEnded
)

// Session is a caller's session. Its creator sets the exported fields; Step
// advances Seen and the unexported fields, whose zero values are those of a new
// session. A Session must not be used concurrently.
type Session struct {
	ID     ctid.Session
	Group  ctid.Group
	Caller ctid.Caller
	// ReadOnly reports whether the caller declared that it only reads.
	ReadOnly bool
	// MaxAge is the greatest age of data that the caller accepts for reads, if it
	// stated one.
	MaxAge ctset.Option[time.Duration]
	// Seen covers what the session has read and written.
	Seen ctposition.Point

	sequence      ctid.Sequence
	stage         stage
	draining      bool
	inTransaction bool
	// transactionsDue and requestsDue report whether the events of these names came.
	transactionsDue bool
	requestsDue     bool

	current requestState
	route   Route
}

// requestState is the state of the session's current request.
type requestState struct {
	class    ctstatement.Class
	key      ctid.IdempotencyKey
	deadline time.Time
	tried    ctset.Set[ctid.Member]
	// primaryFailures counts the tries on a primary that were refused or failed.
	primaryFailures int
	// primaryOnly reports whether the request must go to the primary, because of
	// the settings or because it turned out to write.
	primaryOnly bool
	// mayHaveRun reports whether an earlier try of a request with an idempotency
	// key was sent and may have run.
	mayHaveRun bool
	// maxAge is the greatest age of data that the request accepts on a replica.
	maxAge time.Duration
}

// settings returns the settings that apply to the session's group now.
func (s *Session) settings(env *Environment) ctconfig.Settings {
	return env.View.Config.Document.EffectiveSettings(s.Group, env.Now)
}

// requestID returns the identifier of the current request.
func (s *Session) requestID(env *Environment) ctid.Request {
	return ctid.Request{
		Proxy:       env.Proxy,
		Incarnation: env.Incarnation,
		Session:     s.ID,
		Sequence:    s.sequence,
	}
}
