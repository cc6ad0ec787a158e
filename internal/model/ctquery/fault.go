package ctquery

// Fault says why a query failed.
type Fault uint8

// The faults.
const (
	FaultNone Fault = iota
	// FaultBusy: the member can't run another statement now; nothing ran.
	FaultBusy
	// FaultBehind: the member has not applied the query's MinPoint; nothing ran.
	FaultBehind
	// FaultReadOnly: the member is not the primary and rejects writes; nothing ran.
	FaultReadOnly
	// FaultWrongMember: the address belongs to another member now; nothing ran.
	FaultWrongMember
	// FaultTooManyConnections: the member's connection limit is reached; nothing ran.
	FaultTooManyConnections
	// FaultNoStatement: no prepared statement has the given name; nothing ran.
	FaultNoStatement
	// FaultFailed: the statement ran and failed.
	FaultFailed
	// FaultTimeout: the statement exceeded its time limit.
	FaultTimeout
	// FaultAborted: the transaction was rolled back and had no effect.
	FaultAborted
	// FaultOutcomeUnknown: it is unknown whether the statement took effect.
	FaultOutcomeUnknown
	// FaultNoDatabase: the configuration has no route for the database.
	FaultNoDatabase
	// FaultTooLarge: the message exceeds the size limit.
	FaultTooLarge
	// FaultMalformed: the message can't be parsed or is not allowed in the session's
	// state.
	FaultMalformed
	// FaultDenied: the caller lacks the permission.
	FaultDenied
)

// String returns the name of the fault in snake case, or "invalid" for an unknown
// value.
func (f Fault) String() string {
	names := [...]string{
		"none", "busy", "behind", "read_only", "wrong_member", "connections", "no_statement", "failed",
		"timeout", "aborted", "unknown", "no_database", "too_large", "malformed", "denied",
	}
	if int(f) < len(names) {
		return names[f]
	}
	return "invalid"
}

// NotRun reports whether the fault, when a member reports it, guarantees that
// nothing of the query ran.
func (f Fault) NotRun() bool {
	switch f {
	case FaultBusy, FaultBehind, FaultReadOnly, FaultWrongMember, FaultTooManyConnections, FaultNoStatement:
		return true
	default:
		return false
	}
}
