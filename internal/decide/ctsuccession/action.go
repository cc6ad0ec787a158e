package ctsuccession

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Action is one of SendCommand, PromotionRequest, SetGroup, SettlePromotions and
// ReleaseRequester.
type Action interface {
	isAction()
}

// SendCommand sends a command to a member. RecordStatus or RecordFailure records
// the result.
type SendCommand struct {
	Member  ctid.Member
	Command Command
}

// PromotionRequest requests a member's promotion from the external service. It is sent only
// if the promotion is among the group's unsettled ones in the register, and only by the
// group's requester there, under the requester's epoch. RecordPromotion records the outcome.
type PromotionRequest struct {
	Promotion ctview.Promotion
	Requester ctview.Requester
}

// SetGroup makes a decision on the group durable.
type SetGroup struct {
	Group  ctview.Group
	Reason Reason
	Basis  Basis
}

// SettlePromotions makes durable that promotions can't take effect any more.
type SettlePromotions struct {
	Promotions []ctview.Promotion
	Reason     Reason
}

// ReleaseRequester makes durable that a group has no requester.
type ReleaseRequester struct {
	Requester ctview.Requester
	Reason    Reason
}

func (ReleaseRequester) isAction() {}
func (SendCommand) isAction()      {}
func (PromotionRequest) isAction() {}
func (SetGroup) isAction()         {}
func (SettlePromotions) isAction() {}

// Command is one of Probe, Pause, Resume and StepDown. The member answers each of
// them with its status.
type Command interface {
	isCommand()
}

// Probe requests the status and changes nothing.
type Probe struct{}

// Pause makes a replica stop receiving the log of terms below the fence.
type Pause struct {
	Fence ctposition.Term
}

// Resume makes a paused replica receive the log again.
type Resume struct{}

// StepDown turns a primary of a term below the fence into a replica.
type StepDown struct {
	Fence ctposition.Term
}

func (Probe) isCommand()    {}
func (Pause) isCommand()    {}
func (Resume) isCommand()   {}
func (StepDown) isCommand() {}

// PromotionOutcome is the outcome of a promotion request.
type PromotionOutcome uint8

// The outcomes of promotion requests.
const (
	// PromotionUnknown: no response was received, so the service may have accepted it.
	PromotionUnknown PromotionOutcome = iota
	// PromotionDeferred: the service did not accept it now. It may be sent again soon.
	PromotionDeferred
	// PromotionAccepted: the service promotes the member.
	PromotionAccepted
	// PromotionRejected: the member does not run.
	PromotionRejected
)

// String returns the name of the outcome, as in metrics.
func (o PromotionOutcome) String() string {
	switch o {
	case PromotionUnknown:
		return "unknown"
	case PromotionDeferred:
		return "deferred"
	case PromotionAccepted:
		return "accepted"
	case PromotionRejected:
		return "rejected"
	}
	return ""
}

// Reason is why a decision was made. Control records it in the audit entry.
type Reason string

// The reasons for decisions.
const (
	ReasonAdopted              Reason = "member_is_the_primary"
	ReasonLaterTerm            Reason = "member_is_the_primary_of_a_later_term"
	ReasonLost                 Reason = "primary_does_not_answer"
	ReasonUnreachableByProxies Reason = "proxies_miss_the_primary"
	ReasonDemoted              Reason = "primary_says_it_is_a_replica"
	ReasonLeaving              Reason = "primary_leaves"
	ReasonLogComplete          Reason = "candidate_holds_every_acknowledged_commit"
	ReasonInherited            Reason = "candidate_of_the_previous_leader"
	ReasonUnrequested          Reason = "member_was_promoted_without_a_request_of_this_leader"
	ReasonRequester            Reason = "this_leader_requests_the_promotion"
)

// The reasons for which promotions are settled and requesters are released.
const (
	ReasonAnswered   Reason = "answered"
	ReasonExpired    Reason = "expired"
	ReasonMemberGone Reason = "member_gone"
)
