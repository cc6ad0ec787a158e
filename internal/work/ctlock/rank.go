package ctlock

// Rank is the position of a lock in the lock order.
type Rank uint8

// The ranks in the lock order, lowest first. A lock is acquired only while all
// locks held have lower ranks.
const (
	// RankNone is the rank of a mutex whose Rank was not set. Locking it panics.
	RankNone Rank = iota
	// RankQuorum guards the node of the replicated log.
	RankQuorum
	// RankLeader guards the state of control's leader.
	RankLeader
	// RankAnnouncements guards the reports of members: the announcements that a
	// proxy received, and the reports that a control process forwards to the leader.
	RankAnnouncements
	// RankIntake guards the queues of frames of a control process and the bound of its
	// connections.
	RankIntake
	// RankLinks guards the records of the messages between control processes.
	RankLinks
	// RankUplink guards the state of a proxy's link to control: the proxy's
	// life-cycle state and the addresses of the control processes.
	RankUplink
	// RankView guards the view of the fleet, which includes the configuration.
	RankView
	// RankLeases guards the write leases.
	RankLeases
	// RankAuthority guards the authority of a proxy: its lease on the view, which
	// limits how long the proxy may act on the view.
	RankAuthority
	// RankHints guards the routing hints about the members, which arrive with
	// answers and refusals.
	RankHints
	// RankSessions guards the callers' sessions.
	RankSessions
	// RankWaitingSessions guards the list of sessions that wait for a member.
	RankWaitingSessions
	// RankRetryBudget guards the budget for retries.
	RankRetryBudget
	// RankThrottles guards the throttles of requests to members.
	RankThrottles
	// RankGroups guards a gateway's state of the groups.
	RankGroups
	// RankMembers guards the members' queues and connections.
	RankMembers
	// RankPeers guards a proxy's idle streams to other proxies.
	RankPeers
	// RankQuotas guards a proxy's caps of workspaces.
	RankQuotas
	// RankAccounts guards the memory accounts of the clients of a listener.
	RankAccounts
	// RankStandin guards the database of a stand-in server.
	RankStandin
)
