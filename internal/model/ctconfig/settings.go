package ctconfig

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// The defaults of the settings. They apply to settings that are zero.
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

// The bounds that Settings.Check enforces.
const (
	minLeaseTTL   = 200 * time.Millisecond
	maxLeaseTTL   = 10 * time.Second
	maxQueueDepth = 100_000
)

// SelectTarget says where a proxy sends a single SELECT that the caller did not
// declare read-only.
type SelectTarget string

// The targets. The zero value stands for SelectTargetReplica.
const (
	// SelectTargetReplica sends it to a replica first, in read-only mode.
	SelectTargetReplica SelectTarget = "replica"
	// SelectTargetPrimary sends it to the primary.
	SelectTargetPrimary SelectTarget = "primary"
)

// UnmarshalText implements encoding.TextUnmarshaler. It rejects unknown targets.
func (t *SelectTarget) UnmarshalText(text []byte) error {
	switch target := SelectTarget(text); target {
	case SelectTargetReplica, SelectTargetPrimary:
		*t = target
		return nil
	}
	return cterror.Newf(cterror.Invalid, "use replica or primary", "plain_selects %q is unknown", text)
}

// Sessions contains the settings of callers' sessions.
type Sessions struct {
	// IdleTimeout is the time without a request after which a session ends. Default 30m.
	IdleTimeout Duration `json:"idle_timeout,omitempty" cbor:"idle_timeout,omitempty"`
	// TransactionTimeout is the idle time after which a transaction ends. Default 30s.
	TransactionTimeout Duration `json:"transaction_timeout,omitempty" cbor:"transaction_timeout,omitempty"`
	// RequestTimeout is the time within which a request must start. A request that
	// can't start in time is rejected. Default 5s.
	RequestTimeout Duration `json:"request_timeout,omitempty" cbor:"request_timeout,omitempty"`
	// QueueDepth is the highest number of requests that wait for a member. Default
	// 1000.
	QueueDepth int `json:"queue_depth,omitempty" cbor:"queue_depth,omitempty"`
}

// Reads contains the settings of reads.
type Reads struct {
	// MaxAge is the highest data age that a read accepts if the caller states none.
	// Default 5s.
	MaxAge Duration `json:"max_age,omitempty" cbor:"max_age,omitempty"`
	// PlainSelects is the target of a single SELECT that the caller did not declare
	// read-only. Default replica.
	PlainSelects SelectTarget `json:"plain_selects,omitempty" cbor:"plain_selects,omitempty"`
}

// Failovers contains the settings of failovers.
type Failovers struct {
	// LeaseTTL is the duration of a write lease. Default 1.5s.
	LeaseTTL Duration `json:"lease_time,omitempty" cbor:"lease_time,omitempty"`
	// ConfirmTimeout is the longest time that a write waits for confirmation by
	// replicas. After that its outcome is unknown. Default 2s.
	ConfirmTimeout Duration `json:"confirm_timeout,omitempty" cbor:"confirm_timeout,omitempty"`
	// HandoverTimeout is the time that a leaving primary has to end its transactions.
	// After that it is replaced anyway. Default 3s.
	HandoverTimeout Duration `json:"handover_time,omitempty" cbor:"handover_time,omitempty"`
}

// Settings contains the settings that apply to a group.
type Settings struct {
	Sessions  Sessions  `json:"sessions,omitzero" cbor:"sessions,omitzero"`
	Reads     Reads     `json:"reads,omitzero" cbor:"reads,omitzero"`
	Failovers Failovers `json:"failovers,omitzero" cbor:"failovers,omitzero"`
}

// Check returns an error of kind cterror.Invalid for the first setting that is out
// of bounds.
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

// WithDefaults returns the settings with zero values replaced by those of base.
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

// firstNonZero returns a, or b if a is the zero value.
func firstNonZero[T comparable](a, b T) T {
	var zero T
	if a == zero {
		return b
	}
	return a
}
