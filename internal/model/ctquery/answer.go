package ctquery

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// Transaction tells what state a session's transaction is in.
type Transaction uint8

// The states.
const (
	// TransactionNone means that no transaction is open.
	TransactionNone Transaction = iota
	// TransactionOpen means that one is open.
	TransactionOpen
	// TransactionFailed means that one failed, and only its end is accepted.
	TransactionFailed
)

// Answer is the whole answer to a query.
type Answer struct {
	Rows []string
	// Proof is the member's message authentication code; empty where the
	// system answered by itself.
	Proof string
	// Fault tells why the query failed; FaultNone where it succeeded.
	Fault Fault
	// Text explains the fault to people.
	Text        string
	Transaction Transaction
	// Point is the place in the member's log, zero where none is known.
	Point ctposition.Point
}

// OK reports whether the query succeeded.
func (a Answer) OK() bool {
	return a.Fault == FaultNone
}

// Status is a member's account of itself.
type Status struct {
	Role ctserver.Role
	// Term is the member's term, and Received how far it has received the log.
	Term     ctposition.Term
	Received ctposition.Point
	// PausedBelow is the term below which the member receives nothing; 0 for none.
	PausedBelow ctposition.Term
	// ApplyLag is how long after they are received a replica applies entries.
	ApplyLag time.Duration
	// BusySlots is how many slots are in use, and Connections how many are open.
	BusySlots       int
	OpenConnections int
}
