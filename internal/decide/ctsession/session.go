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
	RecordAnswer(member ctid.Member, taken bool)
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
	// stageOpen means that a transaction is open and no request runs.
	stageOpen
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

	sequence    ctid.Sequence
	stage       stage
	draining    bool
	transaction bool
	asked       request
	route       Route
}

// request is the state of the request in hand.
type request struct {
	class    ctstatement.Class
	key      ctid.IdempotencyKey
	deadline time.Time
	tried    ctset.Set[ctid.Member]
	// tries counts the refusals of primaries.
	tries int
	// primary reports that the request proved to need the primary.
	primary bool
	// sent reports that the request, which has an idempotency key, was sent once
	// and may have run.
	sent bool
	// age is the accepted age.
	age time.Duration
}

// settings returns the settings that hold for the session.
func (s *Session) settings(world *Environment) ctconfig.Settings {
	return world.View.Config.Document.EffectiveSettings(s.Group, world.Now)
}

// request identifies the request in hand.
func (s *Session) request(world *Environment) ctid.Request {
	return ctid.Request{
		Proxy:       world.Proxy,
		Incarnation: world.Incarnation,
		Session:     s.ID,
		Sequence:    s.sequence,
	}
}
