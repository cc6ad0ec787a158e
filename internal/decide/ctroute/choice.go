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
	Term ctposition.Term
	Why  Why
}

// Refuse finds no member for the request.
type Refuse struct {
	Reason ctoutcome.Reason
	// Wait reports whether a member may be found later.
	Wait bool
}

func (Send) isChoice()   {}
func (Refuse) isChoice() {}

// Why tells in the log why a member was chosen.
type Why string

// The grounds of a choice.
const (
	WhyWrite         Why = "write_needs_primary"
	WhyLocalReplica  Why = "replica_in_own_failure_domain"
	WhyRemoteReplica Why = "replica_with_lowest_expected_delay"
	WhyNoReplicaLeft Why = "no_replica_left"
	WhyReplicasBusy  Why = "replicas_busy_and_primary_free"
)
