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
	// RankLeader guards what the leader of control knows.
	RankLeader
	// RankAnnouncements guards the announcements that a proxy heard.
	RankAnnouncements
	// RankUplink guards what a proxy says of itself.
	RankUplink
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
	// RankWaitingSessions guards the list of sessions that wait for a member.
	RankWaitingSessions
	// RankRetryBudget guards the retries that are still allowed.
	RankRetryBudget
	// RankThrottles guards what may be sent to members.
	RankThrottles
	// RankGroups guards what is known of the groups' logs.
	RankGroups
	// RankMembers guards the members' queues and connections.
	RankMembers
	// RankStandin guards a stand-in's log of writes.
	RankStandin
)
