package ctview

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// Group is what control has decided on a database group.
type Group struct {
	Name ctid.Group `json:"name" cbor:"name"`
	// Term is the term of the primary. It is 0 until a primary is known.
	Term    ctposition.Term    `json:"term" cbor:"term"`
	Primary ctid.Member        `json:"primary,omitempty" cbor:"primary,omitempty"`
	History ctposition.History `json:"history" cbor:"history"`
	// Fence is the term that the group is being moved to: its members are to
	// take nothing of earlier terms any more. It is 0 while no change of
	// primary is under way.
	Fence ctposition.Term `json:"fence,omitempty" cbor:"fence,omitempty"`
	// RetiringTerm is the term whose primary takes no new work, because it leaves
	// and the group is being handed over. It is 0 while none does.
	RetiringTerm ctposition.Term `json:"retiring,omitempty" cbor:"retiring,omitempty"`
	// Candidate is the member whose promotion was ordered from an external
	// service and is not seen yet; empty where there is none.
	Candidate ctid.Member `json:"candidate,omitempty" cbor:"candidate,omitempty"`
}

// ChangingPrimary reports whether a change of the primary is under way.
func (g *Group) ChangingPrimary() bool {
	return g.Fence > g.Term
}

// PrimaryRetiring reports whether the group's primary takes no new work.
func (g *Group) PrimaryRetiring() bool {
	return g.RetiringTerm > 0 && g.RetiringTerm == g.Term
}

// Check reports the first fault of the group.
func (g *Group) Check() error {
	if err := g.Name.Check(); err != nil {
		return err
	}
	if g.Primary == "" {
		return nil
	}
	return g.Primary.Check()
}
