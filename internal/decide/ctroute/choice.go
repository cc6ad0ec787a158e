package ctroute

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Choice is the result of Choose: either Send or Refuse.
type Choice interface {
	isChoice()
}

// Send means that the request goes to a member through the member's holder.
type Send struct {
	Member ctid.Member
	Role   ctserver.Role
	Holder ctview.Proxy
	// Term is the group's current term in the view; Role is the member's role in
	// this term.
	Term   ctposition.Term
	Reason Reason
}

// Refuse means that no member can serve the request now.
type Refuse struct {
	Reason ctoutcome.Reason
	// Retryable reports whether a later choice may find a member.
	Retryable bool
}

func (Send) isChoice()   {}
func (Refuse) isChoice() {}

// Reason is why a member was chosen, for the log.
type Reason string

// The reasons for a choice.
const (
	ReasonWrite         Reason = "write_needs_primary"
	ReasonLocalReplica  Reason = "replica_in_own_failure_domain"
	ReasonRemoteReplica Reason = "replica_with_lowest_expected_delay"
	ReasonNoReplicaLeft Reason = "no_replica_left"
	ReasonReplicasBusy  Reason = "replicas_busy_and_primary_free"
)
