package ctlock

// Rank is a table's place in the lock order.
type Rank uint8

// The lock order. A table is locked only while all the locks held are of lower
// ranks.
const (
	// RankNone is the rank of a mutex that was not set up; it can't be locked.
	RankNone Rank = iota
	// RankQuorum guards the node of the replicated log.
	RankQuorum
	// RankLedger guards what the leader of control knows.
	RankLedger
	// RankAnnouncements guards the announcements that a proxy heard.
	RankAnnouncements
	// RankSelf guards what a proxy says of itself.
	RankSelf
	// RankView guards the fleet's view and the configuration.
	RankView
	// RankLeases guards the write leases.
	RankLeases
	// RankAuthority guards until when a proxy may act on its view.
	RankAuthority
	// RankHints guards what answers told of the members.
	RankHints
	// RankSessions guards the callers' sessions.
	RankSessions
	// RankWaiting guards the list of sessions that wait for a member.
	RankWaiting
	// RankBudget guards the retries that are still allowed.
	RankBudget
	// RankThrottles guards what may be sent to members.
	RankThrottles
	// RankSamples guards what is known of the groups' logs.
	RankSamples
	// RankMembers guards the members' queues and connections.
	RankMembers
	// RankLog guards a stand-in's log of writes.
	RankLog
)
