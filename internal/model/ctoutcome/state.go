package ctoutcome

// State is a SQLSTATE code of five characters.
type State string

// The SQLSTATE codes that the proxy itself gives.
const (
	// StateUnknown is transaction_resolution_unknown.
	StateUnknown State = "08007"
	// StateNotNow is cannot_connect_now.
	StateNotNow State = "57P03"
	// StateTooMany is configuration_limit_exceeded.
	StateTooMany State = "53400"
	// StateNotSupported is feature_not_supported.
	StateNotSupported State = "0A000"
	// StateNoDatabase is invalid_catalog_name.
	StateNoDatabase State = "3D000"
	// StateTooLarge is program_limit_exceeded.
	StateTooLarge State = "54000"
	// StateProtocol is protocol_violation.
	StateProtocol State = "08P01"
	// StateRolledBack is transaction_rollback.
	StateRolledBack State = "40000"
	// StateRanBefore is unique_violation.
	StateRanBefore State = "23505"
	// StateReadOnly is read_only_sql_transaction.
	StateReadOnly State = "25006"
)

// StateOf returns the SQLSTATE that a caller is given for an outcome.
func StateOf(outcome Outcome) State {
	switch o := outcome.(type) {
	case Ran:
		if o.Before {
			return StateRanBefore
		}
	case Unknown:
		return StateUnknown
	case NotRun:
		return notRunState(o.Reason)
	}
	return ""
}

func notRunState(reason Reason) State {
	switch reason {
	case ReasonNoGroup:
		return StateNoDatabase
	case ReasonQueueFull, ReasonOverloaded:
		return StateTooMany
	case ReasonCopy, ReasonSessionState, ReasonIdempotencyKey:
		return StateNotSupported
	case ReasonTooLarge:
		return StateTooLarge
	case ReasonTransactionLost:
		return StateRolledBack
	case ReasonReadOnly:
		return StateReadOnly
	default:
		return StateNotNow
	}
}
