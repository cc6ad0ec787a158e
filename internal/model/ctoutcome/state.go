package ctoutcome

// SQLState is a SQLSTATE code, five characters long.
type SQLState string

// The SQLSTATE codes that the proxy itself sends to callers.
const (
	// SQLStateResolutionUnknown is transaction_resolution_unknown.
	SQLStateResolutionUnknown SQLState = "08007"
	// SQLStateOutOfMemory is out_of_memory.
	SQLStateOutOfMemory SQLState = "53200"
	// SQLStateTooManyConnections is too_many_connections.
	SQLStateTooManyConnections SQLState = "53300"
	// SQLStateCannotConnectNow is cannot_connect_now.
	SQLStateCannotConnectNow SQLState = "57P03"
	// SQLStateConfigurationLimit is configuration_limit_exceeded.
	SQLStateConfigurationLimit SQLState = "53400"
	// SQLStateFeatureNotSupported is feature_not_supported.
	SQLStateFeatureNotSupported SQLState = "0A000"
	// SQLStateInvalidCatalogName is invalid_catalog_name.
	SQLStateInvalidCatalogName SQLState = "3D000"
	// SQLStateProgramLimit is program_limit_exceeded.
	SQLStateProgramLimit SQLState = "54000"
	// SQLStateProtocolViolation is protocol_violation.
	SQLStateProtocolViolation SQLState = "08P01"
	// SQLStateTransactionRollback is transaction_rollback.
	SQLStateTransactionRollback SQLState = "40000"
	// SQLStateUniqueViolation is unique_violation.
	SQLStateUniqueViolation SQLState = "23505"
	// SQLStateReadOnlyTransaction is read_only_sql_transaction.
	SQLStateReadOnlyTransaction SQLState = "25006"
)

// SQLStateOf returns the SQLSTATE that a caller receives for an outcome. It is empty
// for a Ran that is no duplicate.
func SQLStateOf(outcome Outcome) SQLState {
	switch o := outcome.(type) {
	case Ran:
		if o.Duplicate {
			return SQLStateUniqueViolation
		}
	case Unknown:
		return SQLStateResolutionUnknown
	case NotRun:
		return notRunSQLState(o.Reason)
	}
	return ""
}

// notRunSQLState returns the SQLSTATE for a request that was not run. Reasons without
// a code of their own get SQLStateCannotConnectNow, which invites a retry.
func notRunSQLState(reason Reason) SQLState {
	switch reason {
	case ReasonNoGroup:
		return SQLStateInvalidCatalogName
	case ReasonQueueFull, ReasonOverloaded:
		return SQLStateConfigurationLimit
	case ReasonCopyNotSupported, ReasonSessionStateNotSupported, ReasonIdempotencyKeyUnusable:
		return SQLStateFeatureNotSupported
	case ReasonTooLarge:
		return SQLStateProgramLimit
	case ReasonTransactionLost:
		return SQLStateTransactionRollback
	case ReasonReadOnly:
		return SQLStateReadOnlyTransaction
	default:
		return SQLStateCannotConnectNow
	}
}
