package ctsuccession

import (
	"slices"
	"strings"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Basis is what a decision rests on, for the log: a CandidateBasis or an AdoptionBasis.
// It is nil for other decisions.
type Basis interface {
	isBasis()
}

// CandidateBasis is why a candidate's log counts as complete.
type CandidateBasis struct {
	Condition Condition
	// LastAcknowledged is the latest point that proxies reported as acknowledged.
	LastAcknowledged ctposition.Point
	// Covered includes the commits that proxies can't report. It is a point of the log of
	// CoveredTerm.
	Covered     ctposition.Point
	CoveredTerm ctposition.Term
	// AllKnown reports whether all acknowledged commits were known.
	AllKnown bool
	// StepDown is the end of the primary's log when it stepped down, or zero.
	StepDown ctposition.Point
	// Members lists the known members in the order of their names.
	Members []MemberBasis
}

// MemberBasis is what was known of a member.
type MemberBasis struct {
	Member   ctid.Member
	Role     ctserver.Role
	Received ctposition.Point
	// Paused reports whether the member has confirmed the fence.
	Paused bool
	// Failures counts the failed commands since the last answer, and Age is the time since
	// that answer. Age is negative if the member has never answered.
	Failures int
	Age      time.Duration
}

// AdoptionBasis is what the adopted primary reported.
type AdoptionBasis struct {
	Member   ctid.Member
	Term     ctposition.Term
	Received ctposition.Point
}

func (CandidateBasis) isBasis() {}
func (AdoptionBasis) isBasis()  {}

// Condition is why a member's log is known to have every acknowledged commit.
type Condition string

// The conditions, of which one must hold for a candidate.
const (
	// ConditionOldPrimary: the member is the primary that stepped down.
	ConditionOldPrimary Condition = "old_primary"
	// ConditionStepDown: it has all that the primary had when it stepped down.
	ConditionStepDown Condition = "step_down_point"
	// ConditionAllKnown: all acknowledged commits are known, and it has them.
	ConditionAllKnown Condition = "all_known"
	// ConditionNoneAhead: all members but the primary are paused, and none has received more.
	ConditionNoneAhead Condition = "none_ahead"
)

// candidateBasis returns what the choice of a candidate rests on.
func (m *Machine) candidateBasis(
	now time.Time, group ctview.Group, candidate ctid.Member, allKnown bool,
) CandidateBasis {
	condition, _ := m.logComplete(now, group, candidate, allKnown)
	basis := CandidateBasis{
		Condition:        condition,
		LastAcknowledged: m.lastAcknowledged(),
		Covered:          m.coveredPoint,
		CoveredTerm:      m.coveredTerm,
		AllKnown:         allKnown,
		StepDown:         m.current.stepDownPoint,
	}
	for name, member := range m.members {
		basis.Members = append(basis.Members, member.basis(now, group, name))
	}
	slices.SortFunc(basis.Members, func(a, b MemberBasis) int {
		return strings.Compare(string(a.Member), string(b.Member))
	})
	return basis
}

// basis returns what is known of the member.
func (m *memberState) basis(now time.Time, group ctview.Group, name ctid.Member) MemberBasis {
	age := now.Sub(m.answeredAt)
	if m.answeredAt.IsZero() {
		age = -1
	}
	return MemberBasis{
		Member:   name,
		Role:     m.status.Role,
		Received: m.status.Received,
		Paused:   m.confirmedFence >= group.Fence,
		Failures: m.failures,
		Age:      age,
	}
}
