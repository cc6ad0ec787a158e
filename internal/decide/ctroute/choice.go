package ctroute

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Choice is one of Send and Refuse.
type Choice interface {
	isChoice()
}

// Send sends the request to a member through its holder.
type Send struct {
	Member ctid.Member
	Role   ctserver.Role
	Holder ctview.Proxy
	// Term is the term in which the member is taken to have the role.
	Term   ctposition.Term
	Reason Reason
}

// Refuse finds no member for the request.
type Refuse struct {
	Reason ctoutcome.Reason
	// Retryable reports whether a member may be found later.
	Retryable bool
}

func (Send) isChoice()   {}
func (Refuse) isChoice() {}

// Reason tells in the log why a member was chosen.
type Reason string

// The grounds of a choice.
const (
	ReasonWrite         Reason = "write_needs_primary"
	ReasonLocalReplica  Reason = "replica_in_own_failure_domain"
	ReasonRemoteReplica Reason = "replica_with_lowest_expected_delay"
	ReasonNoReplicaLeft Reason = "no_replica_left"
	ReasonReplicasBusy  Reason = "replicas_busy_and_primary_free"
)
