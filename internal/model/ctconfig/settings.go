package ctconfig

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// The defaults of the settings.
const (
	DefaultMaxAge             = 5 * time.Second
	DefaultIdleTimeout        = 30 * time.Minute
	DefaultTransactionTimeout = 30 * time.Second
	DefaultRequestTimeout     = 5 * time.Second
	DefaultConfirmTimeout     = 2 * time.Second
	DefaultLeaseTTL           = 1500 * time.Millisecond
	DefaultHandoverTimeout    = 3 * time.Second
	DefaultQueueDepth         = 1000
)

// The bounds of the settings.
const (
	minLeaseTTL   = 200 * time.Millisecond
	maxLeaseTTL   = 10 * time.Second
	maxQueueDepth = 100_000
)

// SelectTarget tells where a single SELECT goes that the caller did not
// declare read-only.
type SelectTarget string

// The choices for plain selects. The zero value stands for PlainReplica.
const (
	// SelectTargetReplica tries a replica first, in read-only mode.
	SelectTargetReplica SelectTarget = "replica"
	// SelectTargetPrimary sends them to the primary.
	SelectTargetPrimary SelectTarget = "primary"
)

// UnmarshalText decodes and checks the choice.
func (t *SelectTarget) UnmarshalText(text []byte) error {
	switch target := SelectTarget(text); target {
	case SelectTargetReplica, SelectTargetPrimary:
		*t = target
		return nil
	}
	return cterror.Newf(cterror.Invalid, "use replica or primary", "plain_selects %q is unknown", text)
}

// Sessions sets how sessions behave.
type Sessions struct {
	// IdleTimeout ends a session that asks nothing for so long; 30m.
	IdleTimeout Duration `json:"idle_timeout,omitempty" cbor:"idle_timeout,omitempty"`
	// TransactionTimeout ends a transaction that idles for so long; 30s.
	TransactionTimeout Duration `json:"transaction_timeout,omitempty" cbor:"transaction_timeout,omitempty"`
	// RequestTimeout refuses a request that can't be started in time; 5s.
	RequestTimeout Duration `json:"request_timeout,omitempty" cbor:"request_timeout,omitempty"`
	// QueueDepth is how many requests may wait for a member; 1000.
	QueueDepth int `json:"queue_depth,omitempty" cbor:"queue_depth,omitempty"`
}

// Reads sets how reads behave.
type Reads struct {
	// MaxAge is the age that reads accept where the caller states none; 5s.
	MaxAge Duration `json:"max_age,omitempty" cbor:"max_age,omitempty"`
	// PlainSelects says where an undeclared SELECT goes; replica.
	PlainSelects SelectTarget `json:"plain_selects,omitempty" cbor:"plain_selects,omitempty"`
}

// Failovers sets how failovers behave.
type Failovers struct {
	// LeaseTTL is how long a write lease lasts; 1.5s.
	LeaseTTL Duration `json:"lease_time,omitempty" cbor:"lease_time,omitempty"`
	// ConfirmTimeout is how long a write waits for a replica before its
	// outcome is unknown; 2s.
	ConfirmTimeout Duration `json:"confirm_timeout,omitempty" cbor:"confirm_timeout,omitempty"`
	// HandoverTimeout is how long a primary that leaves may take to end its
	// transactions before it is replaced nevertheless; 3s.
	HandoverTimeout Duration `json:"handover_time,omitempty" cbor:"handover_time,omitempty"`
}

// Settings are the settings that hold for a group.
type Settings struct {
	Sessions  Sessions  `json:"sessions,omitzero" cbor:"sessions,omitzero"`
	Reads     Reads     `json:"reads,omitzero" cbor:"reads,omitzero"`
	Failovers Failovers `json:"failovers,omitzero" cbor:"failovers,omitzero"`
}

// Check reports the first setting that is out of bounds.
func (s *Settings) Check() error {
	lease := s.Failovers.LeaseTTL.Or(DefaultLeaseTTL)
	if lease < minLeaseTTL || lease > maxLeaseTTL {
		return cterror.Newf(cterror.Invalid, "give a time from 200ms to 10s", "lease_time %s is out of bounds", lease)
	}
	depth := s.Sessions.QueueDepth
	if depth < 0 || depth > maxQueueDepth {
		return cterror.Newf(cterror.Invalid, "give a number from 1 to 100000", "queue_depth %d is out of bounds", depth)
	}
	return nil
}

// WithDefaults returns the settings with the zero ones replaced by those of base.
func (s Settings) WithDefaults(base Settings) Settings {
	s.Sessions.IdleTimeout = firstNonZero(s.Sessions.IdleTimeout, base.Sessions.IdleTimeout)
	s.Sessions.TransactionTimeout = firstNonZero(s.Sessions.TransactionTimeout, base.Sessions.TransactionTimeout)
	s.Sessions.RequestTimeout = firstNonZero(s.Sessions.RequestTimeout, base.Sessions.RequestTimeout)
	s.Sessions.QueueDepth = firstNonZero(s.Sessions.QueueDepth, base.Sessions.QueueDepth)
	s.Reads.MaxAge = firstNonZero(s.Reads.MaxAge, base.Reads.MaxAge)
	s.Reads.PlainSelects = firstNonZero(s.Reads.PlainSelects, base.Reads.PlainSelects)
	s.Failovers.LeaseTTL = firstNonZero(s.Failovers.LeaseTTL, base.Failovers.LeaseTTL)
	s.Failovers.ConfirmTimeout = firstNonZero(s.Failovers.ConfirmTimeout, base.Failovers.ConfirmTimeout)
	s.Failovers.HandoverTimeout = firstNonZero(s.Failovers.HandoverTimeout, base.Failovers.HandoverTimeout)
	return s
}

// firstNonZero returns a, or b where a is the zero value.
func firstNonZero[T comparable](a, b T) T {
	var zero T
	if a == zero {
		return b
	}
	return a
}
