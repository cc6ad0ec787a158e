package ctguard

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
)

// Member is what the holder knows of the member.
type Member struct {
	Status ctserver.Status
	// Age is the highest age that the member's data may have, absent where it
	// is not known.
	Age ctset.Option[time.Duration]
	// LeasedTerm is the term whose write lease the holder has; 0 for none.
	LeasedTerm ctposition.Term
	// History is that of the member's group.
	History ctposition.History
}

// Request is what a request needs.
type Request struct {
	// Term is the term in which the member is asked as the primary; 0 where it
	// is asked as a replica.
	Term     ctposition.Term
	MinPoint ctposition.Point
	MaxAge   time.Duration
	// Incarnation is that of the member's process at the other end of the
	// connection.
	Incarnation ctid.Incarnation
}

// Check returns why the member may not serve the request, or ReasonNone.
func Check(member Member, request Request) ctoutcome.Reason {
	if member.Status.Incarnation != request.Incarnation {
		return ctoutcome.ReasonBehind
	}
	if request.Term != 0 {
		return checkPrimary(member, request)
	}
	if !member.History.Covers(member.Status.Applied, request.MinPoint) {
		return ctoutcome.ReasonBehind
	}
	age, known := member.Age.Get()
	if !known || age > request.MaxAge {
		return ctoutcome.ReasonStale
	}
	return ctoutcome.ReasonNone
}

func checkPrimary(member Member, request Request) ctoutcome.Reason {
	if member.LeasedTerm != request.Term {
		return ctoutcome.ReasonNoLease
	}
	status := member.Status
	if status.Role != ctserver.RolePrimary || status.Received.Term != request.Term {
		return ctoutcome.ReasonNoPrimary
	}
	if request.MinPoint.Term > request.Term {
		return ctoutcome.ReasonBehind
	}
	return ctoutcome.ReasonNone
}
