package ctguard

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
)

// Member is the state of the member as its holder knows it.
type Member struct {
	Status ctserver.Status
	// Age is an upper bound of the age of the member's data, absent if unknown.
	Age ctset.Option[time.Duration]
	// LeasedTerm is the term whose write lease the holder has; 0 if it has none.
	LeasedTerm ctposition.Term
	// History is the history of the member's group.
	History ctposition.History
}

// Request is what a request requires of the member.
type Request struct {
	// Term is the term in which the member must be the primary; 0 if the request
	// is for a replica.
	Term ctposition.Term
	// MinPoint is the point that a replica must have applied. For a primary, only the
	// term of MinPoint is checked.
	MinPoint ctposition.Point
	// MaxAge is the greatest age of a replica's data that the request accepts.
	MaxAge time.Duration
	// Incarnation identifies the member's process that the connection leads to.
	Incarnation ctid.Incarnation
}

// Check returns why the member may not serve the request, or ReasonNone if it may.
// It returns ReasonBehind if the status is that of another incarnation than the
// request's, because it says nothing about what this one has applied.
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
