package ctsuccession

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Action is one of Ask, Order and Set.
type Action interface {
	isAction()
}

// Ask asks a member; Answered or Failed tells what came of it.
type Ask struct {
	Member   ctid.Member
	Question Question
}

// Order orders the promotion of a member; Ordered tells what came of it.
type Order struct {
	Member ctid.Member
}

// Set makes a decision on the group durable.
type Set struct {
	Group ctview.Group
	Why   Why
}

func (Ask) isAction()   {}
func (Order) isAction() {}
func (Set) isAction()   {}

// Question is one of Probe, Pause, Resume and StepDown. Each is answered with
// the member's status.
type Question interface {
	isQuestion()
}

// Probe asks for the status.
type Probe struct{}

// Pause makes a replica receive nothing of terms below the fence.
type Pause struct {
	Fence ctposition.Term
}

// Resume ends a pause.
type Resume struct{}

// StepDown makes a primary of a term below the fence a replica.
type StepDown struct {
	Fence ctposition.Term
}

func (Probe) isQuestion()    {}
func (Pause) isQuestion()    {}
func (Resume) isQuestion()   {}
func (StepDown) isQuestion() {}

// OrderOutcome tells what came of an order.
type OrderOutcome uint8

// The outcomes.
const (
	// OrderUnknown: the answer is missing.
	OrderUnknown OrderOutcome = iota
	// OrderDeferred: it was not taken, and may be sent again soon.
	OrderDeferred
	// OrderTaken: the service promotes the member.
	OrderTaken
	// OrderRefused: the member does not run.
	OrderRefused
)

// Why tells the ground of a decision.
type Why string

// The grounds of decisions.
const (
	WhyAdopted  Why = "member_is_the_primary"
	WhySeen     Why = "member_is_the_primary_of_a_later_term"
	WhyLost     Why = "primary_does_not_answer"
	WhyMissed   Why = "proxies_miss_the_primary"
	WhyDemoted  Why = "primary_says_it_is_a_replica"
	WhyLeaving  Why = "primary_leaves"
	WhyComplete Why = "candidate_holds_every_acknowledged_commit"
)
