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

// SendCommand asks a member; Answered or Failed tells what came of it.
type SendCommand struct {
	Member  ctid.Member
	Command Command
}

// PromotionRequest orders the promotion of a member; Ordered tells what came of it.
type PromotionRequest struct {
	Member ctid.Member
}

// SetGroup makes a decision on the group durable.
type SetGroup struct {
	Group  ctview.Group
	Reason Reason
}

func (SendCommand) isAction()      {}
func (PromotionRequest) isAction() {}
func (SetGroup) isAction()         {}

// Command is one of Probe, Pause, Resume and StepDown. Each is answered with
// the member's status.
type Command interface {
	isCommand()
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

func (Probe) isCommand()    {}
func (Pause) isCommand()    {}
func (Resume) isCommand()   {}
func (StepDown) isCommand() {}

// PromotionOutcome tells what came of an order.
type PromotionOutcome uint8

// The outcomes.
const (
	// PromotionUnknown: the answer is missing.
	PromotionUnknown PromotionOutcome = iota
	// PromotionDeferred: it was not taken, and may be sent again soon.
	PromotionDeferred
	// PromotionAccepted: the service promotes the member.
	PromotionAccepted
	// PromotionRejected: the member does not run.
	PromotionRejected
)

// Reason tells the ground of a decision.
type Reason string

// The grounds of decisions.
const (
	ReasonAdopted              Reason = "member_is_the_primary"
	ReasonLaterTerm            Reason = "member_is_the_primary_of_a_later_term"
	ReasonLost                 Reason = "primary_does_not_answer"
	ReasonUnreachableByProxies Reason = "proxies_miss_the_primary"
	ReasonDemoted              Reason = "primary_says_it_is_a_replica"
	ReasonLeaving              Reason = "primary_leaves"
	ReasonLogComplete          Reason = "candidate_holds_every_acknowledged_commit"
)
