package ctquery

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// Transaction is the state of a session's transaction.
type Transaction uint8

// The transaction states.
const (
	// TransactionNone means that no transaction is open.
	TransactionNone Transaction = iota
	// TransactionOpen means that a transaction is open.
	TransactionOpen
	// TransactionFailed means that the open transaction has failed. Only statements
	// that end it are accepted.
	TransactionFailed
)

// String returns the name of the state in snake case, or "invalid" for an unknown value.
func (t Transaction) String() string {
	switch t {
	case TransactionNone:
		return "none"
	case TransactionOpen:
		return "open"
	case TransactionFailed:
		return "failed"
	}
	return "invalid"
}

// Answer is the complete answer to a query.
type Answer struct {
	// Rows holds the result, one text per row.
	Rows []string
	// Proof is the member's message authentication code. It is empty if the answer
	// does not come from a member.
	Proof string
	// Fault says why the query failed. It is FaultNone if the query succeeded.
	Fault Fault
	// Text describes the fault in words.
	Text string
	// Transaction is the state after the query.
	Transaction Transaction
	// Point is the point in the member's log that the answer reports; zero if unknown.
	Point ctposition.Point
	// RetryAfter is set with FaultBusy if another proxy refused the query and knows how long it
	// would wait. No other attempt is worthwhile before.
	RetryAfter time.Duration
}

// Check returns an error of kind cterror.Invalid if a row or the proof can't go on a line.
func (a Answer) Check() error {
	for _, row := range a.Rows {
		if err := Text(row).Check(); err != nil {
			return err
		}
	}
	return Text(a.Proof).Check()
}

// OK reports whether the query succeeded.
func (a Answer) OK() bool {
	return a.Fault == FaultNone
}

// Status is the answer of a member to ReadStatus.
type Status struct {
	Role ctserver.Role
	// Term is the member's term. Received is the point up to which it has received
	// the log.
	Term     ctposition.Term
	Received ctposition.Point
	// PausedBelow is the term of the Pause in force: the member receives no log
	// entries of terms below it. It is 0 if the member is not paused.
	PausedBelow ctposition.Term
	// ApplyLag is the time that a replica takes from receiving a log entry to
	// applying it.
	ApplyLag time.Duration
	// BusySlots is the number of slots that run a statement. OpenConnections is the
	// number of open connections to the member.
	BusySlots       int
	OpenConnections int
}
