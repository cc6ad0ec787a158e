package ctquery

// Fault tells why a query failed.
type Fault uint8

// The faults.
const (
	FaultNone Fault = iota
	// FaultBusy: the member has no room now; nothing ran.
	FaultBusy
	// FaultBehind: the member's log lacks the point that is needed; nothing ran.
	FaultBehind
	// FaultReadOnly: the member is no primary; nothing ran.
	FaultReadOnly
	// FaultWrongMember: another member answers at the address; nothing ran.
	FaultWrongMember
	// FaultTooManyConnections: the member accepts no more connections; nothing ran.
	FaultTooManyConnections
	// FaultNoStatement: no statement of that name is prepared; nothing ran.
	FaultNoStatement
	// FaultFailed: the statement ran and failed.
	FaultFailed
	// FaultTimeout: the statement ran out of time.
	FaultTimeout
	// FaultAborted: the transaction is rolled back; nothing of it is kept.
	FaultAborted
	// FaultOutcomeUnknown: whether the statement took effect is not known.
	FaultOutcomeUnknown
	// FaultNoDatabase: no route leads to the database.
	FaultNoDatabase
	// FaultTooLarge: the message is over the size limit.
	FaultTooLarge
	// FaultMalformed: the message can't be read, or does not fit the state.
	FaultMalformed
	// FaultDenied: the caller may not ask this.
	FaultDenied
)

// String names the fault in snake case.
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

// NotRun reports whether a member's fault means that nothing of the query ran.
func (f Fault) NotRun() bool {
	switch f {
	case FaultBusy, FaultBehind, FaultReadOnly, FaultWrongMember, FaultTooManyConnections, FaultNoStatement:
		return true
	default:
		return false
	}
}
