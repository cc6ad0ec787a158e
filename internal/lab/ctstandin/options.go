package ctstandin

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// Options are the settings of a Server.
type Options struct {
	Group         ctid.Group
	Member        ctid.Member
	FailureDomain ctid.FailureDomain
	// Listen is the address of the PostgreSQL protocol.
	Listen netip.AddrPort
	// Admin is the HTTP address for faults, counters and the log.
	Admin netip.AddrPort
	// AnnounceTo lists the HTTP addresses that receive announcements, in turn.
	AnnounceTo []netip.AddrPort
	// AnnounceInterval is the time between two announcements.
	AnnounceInterval time.Duration
	Role             ctserver.Role
	// Primary is the address that a replica replicates from when it starts. If it is
	// not valid, the replica waits for a Follow statement (see package ctsql).
	Primary netip.AddrPort
	// Slots is how many requests may run at once. More of them are counted as
	// violations, not refused.
	Slots int
	// Connections is how many connections may be open, without those of replicas.
	Connections int
	// ConnectDelay is how long the server takes to accept a connection.
	ConnectDelay time.Duration
	// Faults are the initial faults.
	Faults Faults
	Clock  ctclock.Clock
	Logger zerolog.Logger
}

// Faults are the delays and failures that a stand-in simulates. They can be changed
// while it runs.
type Faults struct {
	// StatementDelay is added to each statement, but not to those of the system itself,
	// such as status queries.
	StatementDelay Milliseconds `json:"service_ms"`
	// ReceiveLag delays the log entries that a replica receives.
	ReceiveLag Milliseconds `json:"receive_lag_ms"`
	// ApplyLag is the time from receiving log entries to applying them.
	ApplyLag Milliseconds `json:"apply_lag_ms"`
	// Leaving makes the member announce that it accepts no new work.
	Leaving bool `json:"leaving"`
	// Isolated stops replication from and to the member.
	Isolated bool `json:"isolated"`
	// If CutEvery is n, every nth answer to a request that used a slot is broken off in
	// its middle, and its connection is closed. If it is 0, no answer is broken off.
	CutEvery int `json:"cut_every"`
	// If RepeatEvery is n, every nth answer on a holder's connection for requests is sent
	// twice, the second time before the answer to a later request. If it is 0, none is.
	RepeatEvery int `json:"repeat_every"`
	// CancelDelay is the time from a cancel request to its effect.
	CancelDelay Milliseconds `json:"cancel_delay_ms"`
	// NoAnnouncements stops the member's announcements.
	NoAnnouncements bool `json:"mute"`
}

// Milliseconds is a duration in milliseconds.
type Milliseconds int64

// Duration converts the milliseconds to a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Counters are the counts of a stand-in since its start.
type Counters struct {
	// Statements counts the requests that used a slot.
	Statements int `json:"statements"`
	Commits    int `json:"commits"`
	// MaxRunning and MaxConnections are the highest numbers of running requests and of
	// connections at one time.
	MaxRunning     int `json:"most_running"`
	MaxConnections int `json:"most_connections"`
	// SlotViolations counts requests that started while all slots were in use.
	SlotViolations int `json:"over_slots"`
	// RefusedConnections counts connections refused because of the limit.
	RefusedConnections int `json:"refused_connections"`
}
