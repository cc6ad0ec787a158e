package ctoutcome

// Reason says why a request ended as it did. Logs, error details and frames
// contain its text.
type Reason string

// The reasons.
const (
	// ReasonNone stands for no reason.
	ReasonNone Reason = ""
	// ReasonNoGroup means that the configuration has no such database group.
	ReasonNoGroup Reason = "no_such_group"
	// ReasonNoPrimary means that the proxy knows no primary of the group.
	ReasonNoPrimary Reason = "no_primary"
	// ReasonNoHolder means that the member has no live holder: no proxy owns the
	// connections to it.
	ReasonNoHolder Reason = "no_holder"
	// ReasonHolderUnreachable means that the proxy could not reach the member's holder.
	ReasonHolderUnreachable Reason = "holder_unreachable"
	// ReasonNotHolder means that the proxy that received the request is not the
	// member's holder.
	ReasonNotHolder Reason = "not_holder"
	// ReasonQueueFull means that the member's queue is full.
	ReasonQueueFull Reason = "queue_full"
	// ReasonOverloaded means that the request was not sent because the member
	// rejects most requests at present.
	ReasonOverloaded Reason = "member_overloaded"
	// ReasonDeadline means that the request could not be started before its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonLeaving means that the member or the proxy is about to stop and accepts no
	// new work.
	ReasonLeaving Reason = "leaving"
	// ReasonNoLease means that the holder has no write lease for the group.
	ReasonNoLease Reason = "no_write_lease"
	// ReasonBehind means that the member has not applied everything that the session
	// has already seen.
	ReasonBehind Reason = "member_behind_session"
	// ReasonStale means that the member's data may be older than the request accepts.
	ReasonStale Reason = "older_than_accepted"
	// ReasonConnectFailed means that no connection to the backend server could be made.
	ReasonConnectFailed Reason = "backend_connect_failed"
	// ReasonReadOnly means that the backend server rejected a write in read-only mode.
	ReasonReadOnly Reason = "read_only_member"
	// ReasonConnectionLost means that a connection failed after the request was sent.
	ReasonConnectionLost Reason = "connection_lost"
	// ReasonLeaseLost means that the write lease expired while the request ran.
	ReasonLeaseLost Reason = "lease_lost"
	// ReasonUnconfirmed means that too few replicas confirmed the write in time.
	ReasonUnconfirmed Reason = "unconfirmed"
	// ReasonTransactionLost means that the connection of the transaction was lost.
	ReasonTransactionLost Reason = "transaction_lost"
	// ReasonCopyNotSupported means that the statement is COPY, which the proxy does not
	// forward.
	ReasonCopyNotSupported Reason = "copy_not_supported"
	// ReasonSessionStateNotSupported means that the statement would create session state
	// that outlives its transaction. The proxy does not preserve such state.
	ReasonSessionStateNotSupported Reason = "session_state_not_supported"
	// ReasonIdleTimeout means that the session or its transaction was idle for too long.
	ReasonIdleTimeout Reason = "idle"
	// ReasonIdempotencyKeyUnusable means that the idempotency key can't be honoured.
	// A key must be a valid name and precede a single statement outside a transaction,
	// sent as a simple query.
	ReasonIdempotencyKeyUnusable Reason = "idempotency_key_not_usable"
	// ReasonDuplicate means that a request with the same idempotency key has already
	// run.
	ReasonDuplicate Reason = "ran_before"
	// ReasonTooLarge means that the request or its answer exceeds the size limit.
	ReasonTooLarge Reason = "too_large"
)
