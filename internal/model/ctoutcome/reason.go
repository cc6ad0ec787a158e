package ctoutcome

// Reason tells why a request ended as it did. Its text is the one that logs,
// error details and frames show.
type Reason string

// The reasons.
const (
	// ReasonNone stands for no reason.
	ReasonNone Reason = ""
	// ReasonNoGroup means that no such database group is configured.
	ReasonNoGroup Reason = "no_such_group"
	// ReasonNoPrimary means that the group has no primary that this proxy knows of.
	ReasonNoPrimary Reason = "no_primary"
	// ReasonNoHolder means that no live proxy holds the member's connections.
	ReasonNoHolder Reason = "no_holder"
	// ReasonHolderUnreachable means that the holder could not be reached.
	ReasonHolderUnreachable Reason = "holder_unreachable"
	// ReasonNotHolder means that the proxy that was asked does not hold the member.
	ReasonNotHolder Reason = "not_holder"
	// ReasonQueueFull means that the member's queue is full.
	ReasonQueueFull Reason = "queue_full"
	// ReasonOverloaded means that the request was not sent, because the member
	// refuses most of what it is sent.
	ReasonOverloaded Reason = "member_overloaded"
	// ReasonDeadline means that the request could not be started before its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonLeaving means that the member or the proxy takes no new work.
	ReasonLeaving Reason = "leaving"
	// ReasonNoLease means that the holder has no write lease for the group.
	ReasonNoLease Reason = "no_write_lease"
	// ReasonBehind means that the member does not hold what the session has seen.
	ReasonBehind Reason = "member_behind_session"
	// ReasonStale means that the member's data can't be shown to be young enough.
	ReasonStale Reason = "older_than_accepted"
	// ReasonConnectFailed means that no connection to the backend server could be made.
	ReasonConnectFailed Reason = "backend_connect_failed"
	// ReasonReadOnly means that the backend server refused a write in read-only mode.
	ReasonReadOnly Reason = "read_only_member"
	// ReasonConnectionLost means that a connection broke after the request was sent.
	ReasonConnectionLost Reason = "connection_lost"
	// ReasonLeaseLost means that the write lease ran out while the request ran.
	ReasonLeaseLost Reason = "lease_lost"
	// ReasonUnconfirmed means that no replica confirmed the write in time.
	ReasonUnconfirmed Reason = "unconfirmed"
	// ReasonTransactionLost means that the transaction's connection is gone.
	ReasonTransactionLost Reason = "transaction_lost"
	// ReasonCopyNotSupported: COPY is not carried.
	ReasonCopyNotSupported Reason = "copy_not_supported"
	// ReasonSessionStateNotSupported means that state that outlives a transaction is not carried.
	ReasonSessionStateNotSupported Reason = "session_state_not_supported"
	// ReasonIdleTimeout means that the session or its transaction idled for too long.
	ReasonIdleTimeout Reason = "idle"
	// ReasonIdempotencyKeyUnusable means that the idempotency key can't be honoured: it
	// is no valid name, or it does not stand in front of one statement outside a
	// transaction, sent as a simple query.
	ReasonIdempotencyKeyUnusable Reason = "idempotency_key_not_usable"
	// ReasonDuplicate means that a request with the same idempotency key ran
	// before.
	ReasonDuplicate Reason = "ran_before"
	// ReasonTooLarge means that the request or its answer is over the size limit.
	ReasonTooLarge Reason = "too_large"
)
