package ctview

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// GroupRevision counts the decisions on a group.
type GroupRevision uint64

// Group is the state of a database group as control has decided it.
type Group struct {
	Name ctid.Group `json:"name" cbor:"name"`
	// Revision is the number of the last decision. The register assigns it.
	Revision GroupRevision `json:"revision,omitempty" cbor:"revision,omitempty"`
	// Term is the term of the primary. It is 0 until a primary is known.
	Term    ctposition.Term    `json:"term" cbor:"term"`
	Primary ctid.Member        `json:"primary,omitempty" cbor:"primary,omitempty"`
	History ctposition.History `json:"history" cbor:"history"`
	// Fence is the next term, once a change of primary is in progress. Members must
	// accept nothing of earlier terms any more. It is 0 while no change is in progress.
	Fence ctposition.Term `json:"fence,omitempty" cbor:"fence,omitempty"`
	// RetiringTerm is the term whose primary accepts no new work, because it is about
	// to stop and the group is being handed over. It is 0 without a handover.
	RetiringTerm ctposition.Term `json:"retiring,omitempty" cbor:"retiring,omitempty"`
	// Candidate is the member that an external service is to promote, until its
	// promotion is observed. It is empty if no such promotion is pending.
	Candidate ctid.Member `json:"candidate,omitempty" cbor:"candidate,omitempty"`
	// CandidatePoint is the point that the candidate had received when it was chosen. Its log
	// is complete only as long as it has that.
	CandidatePoint ctposition.Point `json:"candidate_point" cbor:"candidate_point"`
	// Unsettled lists the promotions that may still take effect, at any time: they were or
	// may have been requested, and it is not known that the request has ended.
	Unsettled []Promotion `json:"unsettled,omitempty" cbor:"unsettled,omitempty"`
	// Requester is the process that may have promotion requests on their way.
	Requester Requester `json:"requester,omitzero" cbor:"requester,omitzero"`
}

// ChangingPrimary reports whether a change of primary is in progress.
func (g *Group) ChangingPrimary() bool {
	return g.Fence > g.Term
}

// PrimaryRetiring reports whether the current primary accepts no new work because
// the group is being handed over.
func (g *Group) PrimaryRetiring() bool {
	return g.RetiringTerm > 0 && g.RetiringTerm == g.Term
}

// Check returns an error of kind cterror.Invalid for the first invalid name.
func (g *Group) Check() error {
	if err := g.Name.Check(); err != nil {
		return err
	}
	if err := checkPromotions(g.Unsettled); err != nil {
		return err
	}
	if err := g.Requester.Check(); err != nil {
		return err
	}
	if g.Primary == "" {
		return nil
	}
	return g.Primary.Check()
}
