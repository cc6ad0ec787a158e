package ctquota

import (
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// Verdict says whether an operation may start. Only types of this package implement it.
type Verdict interface {
	verdict()
}

// Admitted means that the operation may start. It holds a reservation until Start or Cancel.
type Admitted struct{}

// Rejected means that the limit of the workspace is reached.
type Rejected struct{}

// Undecided means that the share does not allow the operation, but that a newer cap may.
type Undecided struct {
	// RetryAt is when the cap in force allows the operation; zero if it does not by itself.
	RetryAt time.Time
}

func (Admitted) verdict()  {}
func (Rejected) verdict()  {}
func (Undecided) verdict() {}

// Share is a holder's part of the limit of one workspace. Set Bounds before first use.
// It must not be used concurrently.
type Share struct {
	Bounds Bounds

	cap       ctid.Operations
	expiresAt time.Time
	// limited reports whether the leader has granted less than the demand because the limit
	// of the workspace is reached.
	limited bool
	// started holds the times at which operations started within the last window, in order.
	started []time.Time
	// reserved counts the operations that were admitted and have not started.
	reserved ctid.Operations
	// refused counts the operations that were rejected since the last report.
	refused ctid.Operations
}

// Demand is what a holder reports of a workspace.
type Demand struct {
	Cap     ctid.Operations
	Started ctid.Operations
	Refused ctid.Operations
}

// Admit decides on an operation that is about to start.
func (s *Share) Admit(now time.Time) Verdict {
	s.prune(now)
	valid := now.Before(s.expiresAt)
	switch {
	case valid && s.reserved+ctid.Operations(len(s.started)) < s.cap:
		s.reserved++
		return Admitted{}
	case valid && s.limited:
		s.refused++
		return Rejected{}
	case valid && s.cap > s.reserved && len(s.started) > 0:
		return Undecided{RetryAt: s.started[0].Add(s.Bounds.countedWindow())}
	}
	return Undecided{}
}

// Start counts an admitted operation and reports whether it may still start. It ends the
// reservation. The time identifies the operation in Refund.
func (s *Share) Start(now time.Time) bool {
	s.Cancel()
	s.prune(now)
	if !now.Before(s.expiresAt) || ctid.Operations(len(s.started)) >= s.cap {
		return false
	}
	s.started = append(s.started, now)
	return true
}

// Cancel ends the reservation of an admitted operation that does not start.
func (s *Share) Cancel() {
	s.reserved = max(0, s.reserved-1)
}

// Refund stops counting an operation that started at a time, because nothing of it ran.
func (s *Share) Refund(startedAt time.Time) {
	if i, ok := slices.BinarySearchFunc(s.started, startedAt, time.Time.Compare); ok {
		s.started = slices.Delete(s.started, i, i+1)
	}
}

// CountRefused counts an operation that was undecided until its deadline.
func (s *Share) CountRefused() {
	s.refused++
}

// Report returns the share's demand for a report. waiting is the number of operations that
// wait for a cap. An expired cap is given up: only a newer one can replace it.
func (s *Share) Report(now time.Time, waiting ctid.Operations) Demand {
	s.prune(now)
	if !now.Before(s.expiresAt) {
		s.cap, s.limited = 0, false
	}
	demand := Demand{Cap: s.cap, Started: ctid.Operations(len(s.started)), Refused: s.refused + waiting}
	s.refused = 0
	return demand
}

// Renew puts a cap into force that the leader has granted until expiresAt.
func (s *Share) Renew(granted ctid.Operations, limited bool, expiresAt time.Time) {
	s.cap, s.limited, s.expiresAt = granted, limited, expiresAt
}

// Cap returns the cap in force; 0 if it has expired.
func (s *Share) Cap(now time.Time) ctid.Operations {
	if !now.Before(s.expiresAt) {
		return 0
	}
	return s.cap
}

// Limited reports whether the limit of the workspace is reached.
func (s *Share) Limited() bool {
	return s.limited
}

// Idle reports whether no operation has started within the last window or is about to.
func (s *Share) Idle(now time.Time) bool {
	s.prune(now)
	return len(s.started) == 0 && s.reserved == 0
}

// prune removes the operations that started before the last window.
func (s *Share) prune(now time.Time) {
	oldest := now.Add(-s.Bounds.countedWindow())
	i, _ := slices.BinarySearchFunc(s.started, oldest, func(at, oldest time.Time) int {
		if at.After(oldest) {
			return 1
		}
		return -1
	})
	s.started = slices.Delete(s.started, 0, i)
}
