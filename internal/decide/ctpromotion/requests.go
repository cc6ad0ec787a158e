package ctpromotion

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// turnInterval is how long after a request of one process another one sends none for the same
// group. Meanwhile the process sends those that it is offered.
const turnInterval = 5 * time.Second

// Requests tracks which requests of this process the service may still receive. A group's
// requester is released only once that is none. The zero value is empty and ready for use. It
// is not safe for concurrent use.
type Requests struct {
	// epochs are those in which this run of the process has led. It can't know what an
	// earlier run has sent.
	epochs ctset.Set[ctview.Epoch]
	states map[requesterKey]*requesterState
}

// requesterKey names a time in which a process is the requester of a group.
type requesterKey struct {
	group     ctid.Group
	requester ctview.Requester
}

// requesterState is the state of the requests that are sent as one requester.
type requesterState struct {
	// unanswered counts the requests on their way.
	unanswered int
	// endsBy is when the requests that lost their answers have ended, and the turn of this
	// process after the others.
	endsBy time.Time
	// released reports that no request is sent any more.
	released bool
}

// Lead records that this run of the process leads in an epoch.
func (r *Requests) Lead(epoch ctview.Epoch) {
	r.epochs.Add(epoch)
}

// Begin records that a request is about to be sent. It returns false if none may be sent,
// because the process has released the group.
func (r *Requests) Begin(group ctid.Group, requester ctview.Requester) bool {
	state := r.stateOf(group, requester)
	if state.released {
		return false
	}
	state.unanswered++
	return true
}

// stateOf returns the state of a requester and adds it if it is missing.
func (r *Requests) stateOf(group ctid.Group, requester ctview.Requester) *requesterState {
	if r.states == nil {
		r.states = make(map[requesterKey]*requesterState)
	}
	key := requesterKey{group, requester}
	state, ok := r.states[key]
	if !ok {
		state = &requesterState{}
		r.states[key] = state
	}
	return state
}

// RecordOutcome records the outcome of a request. PromotionUnknown means that its answer will
// never be known, so that the service may receive it during its lifetime.
func (r *Requests) RecordOutcome(
	now time.Time, group ctid.Group, requester ctview.Requester, outcome ctsuccession.PromotionOutcome,
) {
	state := r.stateOf(group, requester)
	state.unanswered--
	end := now.Add(turnInterval)
	if outcome == ctsuccession.PromotionUnknown {
		end = now.Add(ctsuccession.RequestLifetime)
	}
	if end.After(state.endsBy) {
		state.endsBy = end
	}
}

// RecordUnsent records that a request ended before any of it was sent.
func (r *Requests) RecordUnsent(group ctid.Group, requester ctview.Requester) {
	r.stateOf(group, requester).unanswered--
}

// Release reports whether the service can't receive a request of a requester any more, and its
// turn has ended. If so, Begin allows no further one. It is false for a requester of an earlier
// run of the process.
func (r *Requests) Release(now time.Time, group ctid.Group, requester ctview.Requester) bool {
	if !r.epochs.Has(requester.Epoch) {
		return false
	}
	state := r.stateOf(group, requester)
	if state.unanswered > 0 || now.Before(state.endsBy) {
		return false
	}
	state.released = true
	return true
}

// Released reports whether Release was true before.
func (r *Requests) Released(group ctid.Group, requester ctview.Requester) bool {
	return r.stateOf(group, requester).released
}
