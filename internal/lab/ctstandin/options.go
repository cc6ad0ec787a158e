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
	Listen        netip.AddrPort
	Admin         netip.AddrPort
	// AnnounceTo lists the HTTP addresses of the system, which are used in turn.
	AnnounceTo []netip.AddrPort
	// AnnounceInterval is the time between two announcements.
	AnnounceInterval time.Duration
	Role             ctserver.Role
	// Primary is whom a replica follows from its start; none waits for orders.
	Primary     netip.AddrPort
	Slots       int
	Connections int
	// ConnectDelay is how long a new connection takes.
	ConnectDelay time.Duration
	Faults       Faults
	Clock        ctclock.Clock
	Logger       zerolog.Logger
}

// Faults are the delays of a stand-in. They can be changed while it runs.
type Faults struct {
	// StatementDelay is how long each statement of a caller takes.
	StatementDelay Milliseconds `json:"service_ms"`
	// ReceiveLag is how much later a replica receives the log.
	ReceiveLag Milliseconds `json:"receive_lag_ms"`
	// ApplyLag is how much later a replica shows what it received.
	ApplyLag Milliseconds `json:"apply_lag_ms"`
	// Leaving announces that the member takes no new work.
	Leaving bool `json:"leaving"`
	// Isolated cuts the replication from and to the member.
	Isolated bool `json:"isolated"`
	// CutEvery cuts the connection in the middle of every so many answers to
	// callers' statements; 0 for none.
	CutEvery int `json:"cut_every"`
	// NoAnnouncements stops the announcements.
	NoAnnouncements bool `json:"mute"`
}

// Milliseconds is a length of time in milliseconds.
type Milliseconds int64

// Duration returns the length of time.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Counters are what a stand-in has counted since its start.
type Counters struct {
	Statements int `json:"statements"`
	Commits    int `json:"commits"`
	// MaxRunning and MostConnections are the highest numbers at one time.
	MaxRunning     int `json:"most_running"`
	MaxConnections int `json:"most_connections"`
	// SlotViolations counts statements that ran while all slots were taken.
	SlotViolations int `json:"over_slots"`
	// RefusedConnections counts connections beyond the limit.
	RefusedConnections int `json:"refused_connections"`
}
