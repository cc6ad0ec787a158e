package ctcontrol

import (
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
)

// maxLoggedMembers is how many members the line on a candidate lists at most. The field
// known counts all.
const maxLoggedMembers = 16

// logBasis logs what a proposed decision rests on. Group is the group before it.
func (c *Control) logBasis(group ctview.Group, set ctsuccession.SetGroup) {
	switch b := set.Basis.(type) {
	case ctsuccession.CandidateBasis:
		c.logCandidate(group, set, b)
	case ctsuccession.AdoptionBasis:
		c.logAdoption(group, set, b)
	}
}

func (c *Control) logCandidate(group ctview.Group, set ctsuccession.SetGroup, basis ctsuccession.CandidateBasis) {
	members := zerolog.Arr()
	for _, m := range basis.Members[:min(len(basis.Members), maxLoggedMembers)] {
		members.Dict(zerolog.Dict().
			Str("member", string(m.Member)).
			Str("role", string(m.Role)).
			Stringer("received", m.Received).
			Bool("paused", m.Paused).
			Int("failures", m.Failures).
			Dur("age", m.Age))
	}
	ctlog.Decision(&c.Logger, "choose_candidate").
		Str("group", string(group.Name)).
		Str("member", string(set.Group.Candidate)).
		Str("replaces", string(group.Candidate)).
		Str("primary", string(group.Primary)).
		Uint64("term", uint64(group.Term)).
		Uint64("fence", uint64(group.Fence)).
		Stringer("acknowledged", basis.LastAcknowledged).
		Stringer("covered", basis.Covered).
		Uint64("covered_term", uint64(basis.CoveredTerm)).
		Bool("all_known", basis.AllKnown).
		Stringer("step_down", basis.StepDown).
		Int("known", len(basis.Members)).
		Array("members", members).
		Str("why", string(basis.Condition)).
		Send()
}

func (c *Control) logAdoption(group ctview.Group, set ctsuccession.SetGroup, basis ctsuccession.AdoptionBasis) {
	ctlog.Decision(&c.Logger, "adopt_primary").
		Str("group", string(group.Name)).
		Str("member", string(basis.Member)).
		Uint64("term", uint64(basis.Term)).
		Stringer("received", basis.Received).
		Str("candidate", string(group.Candidate)).
		Uint64("fence", uint64(group.Fence)).
		Str("replaces", string(group.Primary)).
		Uint64("group_term", uint64(group.Term)).
		Str("why", string(set.Reason)).
		Send()
}
