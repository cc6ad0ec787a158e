package ctholderjudge

import (
	"fmt"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

const (
	// Lease is how long after a request of one holder no other one may send one for the same
	// group.
	Lease = 5 * time.Second
	// StableWindow is how long after a disturbance of a holder its turns are not judged.
	StableWindow = 5 * time.Second
)

// Request is a promotion request as the service receives it.
type Request struct {
	Group  ctid.Group
	Member ctid.Member
	// Holder is the control process that sends it.
	Holder string
	Epoch  ctquorum.Epoch
	At     time.Time
}

// Violation is one of SharedEpoch, Turns and EpochOrder. Its text names both requests.
type Violation interface {
	fmt.Stringer
	isViolation()
}

// pair is a request and an earlier one that it conflicts with.
type pair struct {
	earlier, later Request
}

// SharedEpoch means that two holders have requested promotions in one epoch.
type SharedEpoch struct{ pair }

// Turns means that two undisturbed holders have requested promotions in one group within Lease.
type Turns struct{ pair }

// EpochOrder means that a request has a lower epoch than one before in the same group.
type EpochOrder struct{ pair }

func (SharedEpoch) isViolation() {}
func (Turns) isViolation()       {}
func (EpochOrder) isViolation()  {}

// String describes the two requests.
func (p pair) String() string {
	return fmt.Sprintf("%s requests %s of %s in epoch %d, %s after %s requested %s of %s in epoch %d",
		p.later.Holder, p.later.Member, p.later.Group, p.later.Epoch, p.later.At.Sub(p.earlier.At).Round(time.Millisecond),
		p.earlier.Holder, p.earlier.Member, p.earlier.Group, p.earlier.Epoch)
}

// Judge has the requests that a service has received. Its zero value takes all holders for
// undisturbed. It is not safe for concurrent use.
type Judge struct {
	// InTouch reports whether a holder was not disturbed since a time. It may be nil.
	InTouch  func(holder string, since time.Time) bool
	requests []Request
}

// Record adds a request and returns the rules that it breaks.
func (j *Judge) Record(r Request) []Violation {
	var violations []Violation
	var highest, other Request
	for _, e := range j.requests {
		if e.Epoch == r.Epoch && e.Holder != r.Holder {
			violations = append(violations, SharedEpoch{pair{e, r}})
		}
		if e.Group != r.Group {
			continue
		}
		if e.Epoch > highest.Epoch {
			highest = e
		}
		if e.Holder != r.Holder {
			other = e
		}
	}
	j.requests = append(j.requests, r)
	if r.Epoch < highest.Epoch {
		violations = append(violations, EpochOrder{pair{highest, r}})
	}
	if other.Holder != "" && j.inTurn(other, r) {
		violations = append(violations, Turns{pair{other, r}})
	}
	return violations
}

// inTurn reports whether two holders have sent requests within Lease and neither was disturbed.
func (j *Judge) inTurn(earlier, later Request) bool {
	if later.At.Sub(earlier.At) >= Lease {
		return false
	}
	since := earlier.At.Add(-StableWindow)
	return j.InTouch == nil || (j.InTouch(earlier.Holder, since) && j.InTouch(later.Holder, since))
}
