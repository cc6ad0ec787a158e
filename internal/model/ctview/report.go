package ctview

import (
	"net/netip"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// maxReportEntries is how many entries a list of a report may have.
const maxReportEntries = 4096

// Health is what a holder finds of a member that it holds.
type Health string

// The healths.
const (
	// HealthUp means that the member answers its status query.
	HealthUp Health = "up"
	// HealthUnreachable means that the member does not answer in time.
	HealthUnreachable Health = "silent"
	// HealthDown means that the member's VM refuses connections, so the process is gone.
	HealthDown Health = "down"
)

// MemberReport is a holder's account of a member that it holds.
type MemberReport struct {
	Group  ctid.Group  `json:"group" cbor:"group"`
	Member ctid.Member `json:"member" cbor:"member"`
	Health Health      `json:"health" cbor:"health"`
	// Serving reports whether the holder serves the member's requests: as the
	// primary with a write lease, or as a replica whose age is known.
	Serving bool            `json:"ready,omitempty" cbor:"ready,omitempty"`
	Status  ctserver.Status `json:"status" cbor:"status"`
	// Draining reports whether the holder only ends what it has begun, because
	// the member has another holder now.
	Draining bool `json:"draining,omitempty" cbor:"draining,omitempty"`
	// Leaving reports whether the member announces that it is to stop.
	Leaving bool `json:"leaving,omitempty" cbor:"leaving,omitempty"`
	// SurrenderedTerm is the highest term whose lease the holder has given up for
	// good: nothing of that term is acknowledged any more.
	SurrenderedTerm ctposition.Term `json:"surrendered,omitempty" cbor:"surrendered,omitempty"`
}

// Check reports the first fault of the account.
func (m *MemberReport) Check() error {
	if err := m.Group.Check(); err != nil {
		return err
	}
	return m.Member.Check()
}

// TrackAllLimit is up to how many groups each proxy of a fleet keeps up all; where there
// are more it keeps up those that its callers use.
const TrackAllLimit = 16

// Report is what a proxy tells control at each heartbeat.
type Report struct {
	// Number counts the reports of the proxy's run. The reply repeats it.
	Number uint64 `json:"number" cbor:"number"`
	Proxy  Proxy  `json:"proxy" cbor:"proxy"`
	// Announcements lists the announcements that are new or changed since the last
	// report that control answered.
	Announcements []ctserver.Announcement `json:"seen,omitempty" cbor:"seen,omitempty"`
	// HeldMembers lists the members that the proxy holds.
	HeldMembers []MemberReport `json:"held,omitempty" cbor:"held,omitempty"`
	// Reachable lists the primaries that answered the proxy lately, and Misses
	// those that it can't reach or that do not answer.
	Reachable   []ctid.Member `json:"reaches,omitempty" cbor:"reaches,omitempty"`
	Unreachable []ctid.Member `json:"misses,omitempty" cbor:"misses,omitempty"`
	// Fences lists the groups whose fence the proxy keeps to.
	Fences []FenceReport `json:"fenced,omitempty" cbor:"fenced,omitempty"`
	// Stopping reports that the proxy stops and has let go of all that it held.
	Stopping bool `json:"goodbye,omitempty" cbor:"goodbye,omitempty"`
	// Version is the view that the proxy has.
	Version Version `json:"version" cbor:"version"`
	// Revision is the configuration that the proxy has in force.
	Revision ctid.Revision `json:"revision" cbor:"revision"`
}

// FenceReport reports that a proxy sends nothing to the primary of an earlier term
// than Fence any more and acknowledges nothing that it still answers.
type FenceReport struct {
	Group ctid.Group      `json:"group" cbor:"group"`
	Fence ctposition.Term `json:"fence" cbor:"fence"`
	// LastAcknowledged is the latest point that the proxy acknowledged a write at.
	LastAcknowledged ctposition.Point `json:"acknowledged" cbor:"acknowledged"`
}

// Check reports the first fault of the report.
func (r *Report) Check() error {
	if err := r.Proxy.Check(); err != nil {
		return err
	}
	if len(r.Announcements) > maxReportEntries || len(r.HeldMembers) > maxReportEntries {
		return cterror.New(cterror.Invalid, "report lists more than 4096 entries", "split the report")
	}
	for i := range r.Announcements {
		if err := r.Announcements[i].Check(); err != nil {
			return err
		}
	}
	for i := range r.HeldMembers {
		if err := r.HeldMembers[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// Lease grants a holder the right to acknowledge writes of a group's term. It
// counts from the moment at which the holder sent the report that asked for
// it, so that the two clocks need not agree.
type Lease struct {
	Group ctid.Group      `json:"group" cbor:"group"`
	Term  ctposition.Term `json:"term" cbor:"term"`
	// TTL is how long the lease lasts.
	TTL ctconfig.Duration `json:"time" cbor:"time"`
}

// Reply is control's answer to a report.
type Reply struct {
	// Number is that of the report.
	Number uint64 `json:"number" cbor:"number"`
	// Delta is absent where the proxy's view is the newest.
	Delta  *Delta  `json:"delta,omitempty" cbor:"delta,omitempty"`
	Leases []Lease `json:"leases,omitempty" cbor:"leases,omitempty"`
	// AuthorityTTL is how long the proxy may act on the groups of its view, after
	// this reply is taken, counted from the moment it sent the report.
	AuthorityTTL ctconfig.Duration `json:"authority,omitempty" cbor:"authority,omitempty"`
	// ConfigOutdated reports that a newer configuration than the proxy's should be in force
	// everywhere by now: the proxy must not act on its own.
	ConfigOutdated bool `json:"outdated,omitempty" cbor:"outdated,omitempty"`
	// Groups lists all groups where there is no delta to the proxy's view yet.
	Groups []Group `json:"groups,omitempty" cbor:"groups,omitempty"`
	// LogSamples tell the places of the groups' logs that control knows.
	LogSamples []LogSample `json:"samples,omitempty" cbor:"samples,omitempty"`
	// Controls lists the control processes that vote.
	Controls []ctid.Control `json:"controls,omitempty" cbor:"controls,omitempty"`
	// NotLeader reports that the process that answers does not lead control.
	NotLeader bool `json:"unready,omitempty" cbor:"unready,omitempty"`
	// LeaderAddress is where the leader can be reached, where that is known.
	LeaderAddress *netip.AddrPort `json:"leader,omitempty" cbor:"leader,omitempty"`
}

// LogSample is a place in a group's log, as its primary told control.
type LogSample struct {
	_     struct{}         `cbor:",toarray"`
	Group ctid.Group       `json:"group" cbor:"group"`
	Point ctposition.Point `json:"point" cbor:"point"`
	// Age is how long before the reply control asked the primary.
	Age time.Duration `json:"ago" cbor:"ago"`
}

// Check reports the first fault of the reply.
func (r *Reply) Check() error {
	for _, l := range r.Leases {
		if err := l.Group.Check(); err != nil {
			return err
		}
	}
	if r.Delta == nil {
		return nil
	}
	return r.Delta.Check()
}
