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

// maxReportEntries is the highest number of announcements, and of held members, that
// a report may list.
const maxReportEntries = 4096

// Health is the result of a holder's status queries to a member.
type Health string

// The values of Health.
const (
	// HealthUp means that the member answers status queries.
	HealthUp Health = "up"
	// HealthUnreachable means that the member does not answer in time.
	HealthUnreachable Health = "silent"
	// HealthDown means that the member's VM refuses connections: the process has ended.
	HealthDown Health = "down"
)

// MemberReport is a holder's report on a member whose connections it owns.
type MemberReport struct {
	Group  ctid.Group  `json:"group" cbor:"group"`
	Member ctid.Member `json:"member" cbor:"member"`
	Health Health      `json:"health" cbor:"health"`
	// Serving reports whether the holder runs requests on the member. A primary needs
	// a write lease for that, and a replica a known data age.
	Serving bool            `json:"ready,omitempty" cbor:"ready,omitempty"`
	Status  ctserver.Status `json:"status" cbor:"status"`
	// Draining reports whether the holder only completes running requests, because
	// another proxy has become the member's holder.
	Draining bool `json:"draining,omitempty" cbor:"draining,omitempty"`
	// Leaving reports whether the member has announced that it is about to stop.
	Leaving bool `json:"leaving,omitempty" cbor:"leaving,omitempty"`
	// SurrenderedTerm is the highest term whose lease the holder has released for
	// good. The holder acknowledges no more writes of that term.
	SurrenderedTerm ctposition.Term `json:"surrendered,omitempty" cbor:"surrendered,omitempty"`
}

// Check returns an error of kind cterror.Invalid for the first invalid name.
func (m *MemberReport) Check() error {
	if err := m.Group.Check(); err != nil {
		return err
	}
	return m.Member.Check()
}

// TrackAllLimit is the highest number of groups at which each proxy tracks all groups
// of the fleet. With more groups, a proxy tracks only those that its callers use.
const TrackAllLimit = 16

// Report is the message that a proxy sends to control at each heartbeat.
type Report struct {
	// Number counts the reports since the proxy started. The reply repeats it.
	Number uint64 `json:"number" cbor:"number"`
	Proxy  Proxy  `json:"proxy" cbor:"proxy"`
	// Announcements lists the announcements that are new or have changed since the
	// last report that control answered.
	Announcements []ctserver.Announcement `json:"seen,omitempty" cbor:"seen,omitempty"`
	// HeldMembers reports on the members that the proxy holds.
	HeldMembers []MemberReport `json:"held,omitempty" cbor:"held,omitempty"`
	// Reachable lists the primaries that answered the proxy recently. Unreachable
	// lists those that it can't connect to or that do not answer.
	Reachable   []ctid.Member `json:"reaches,omitempty" cbor:"reaches,omitempty"`
	Unreachable []ctid.Member `json:"misses,omitempty" cbor:"misses,omitempty"`
	// Fences lists the fences that the proxy enforces.
	Fences []FenceReport `json:"fenced,omitempty" cbor:"fenced,omitempty"`
	// Lapsed reports that the proxy's authority has expired or may expire before the reply.
	// It may have missed changes of primaries from begin to end, also of groups that the
	// report doesn't name.
	Lapsed bool `json:"lapsed,omitempty" cbor:"lapsed,omitempty"`
	// Stopping reports that the proxy is about to stop and has released all members
	// that it held.
	Stopping bool `json:"goodbye,omitempty" cbor:"goodbye,omitempty"`
	// Version is the version of the proxy's view.
	Version Version `json:"version" cbor:"version"`
	// Revision is the revision of the configuration in force at the proxy.
	Revision ctid.Revision `json:"revision" cbor:"revision"`
	// Quotas lists the workspaces with a rate limit whose operations the proxy starts.
	Quotas []QuotaDemand `json:"quotas,omitempty" cbor:"quotas,omitempty"`
}

// FenceReport reports that a proxy enforces a fence. The proxy no longer sends
// anything to primaries of terms below Fence, and acknowledges no write that they
// still answer.
type FenceReport struct {
	Group ctid.Group      `json:"group" cbor:"group"`
	Fence ctposition.Term `json:"fence" cbor:"fence"`
	// LastAcknowledged is the latest point of a write that the proxy has acknowledged.
	LastAcknowledged ctposition.Point `json:"acknowledged" cbor:"acknowledged"`
}

// Check returns an error of kind cterror.Invalid for the first fault in the proxy's
// description, the announcements, the held members or the quotas. It does not check other
// fields.
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
	return r.checkQuotas()
}

// Lease permits a holder to acknowledge the writes of a group's term. The holder
// counts its TTL from the time at which it sent the report that the reply answers.
// The clocks of holder and control therefore need not agree.
type Lease struct {
	Group ctid.Group      `json:"group" cbor:"group"`
	Term  ctposition.Term `json:"term" cbor:"term"`
	// TTL is the duration of the lease.
	TTL ctconfig.Duration `json:"time" cbor:"time"`
}

// Reply is control's answer to a report.
type Reply struct {
	// Number is the Number of the report.
	Number uint64 `json:"number" cbor:"number"`
	// Delta leads to the newest view. It is nil if the proxy has that view already, or
	// if a large delta is sent compressed or separately.
	Delta  *Delta  `json:"delta,omitempty" cbor:"delta,omitempty"`
	Leases []Lease `json:"leases,omitempty" cbor:"leases,omitempty"`
	// AuthorityTTL is the duration of the proxy's authority, counted from the time at
	// which the proxy sent the report. Zero does not extend it.
	AuthorityTTL ctconfig.Duration `json:"authority,omitempty" cbor:"authority,omitempty"`
	// ConfigOutdated reports that a newer configuration than the proxy's should be in
	// force everywhere by now. Until the proxy has it, it must not run statements.
	ConfigOutdated bool `json:"outdated,omitempty" cbor:"outdated,omitempty"`
	// Groups lists the groups that the proxy uses and those whose primary is changing,
	// so that it can act on them before it receives the newest view. With at most
	// TrackAllLimit groups it lists all. For a proxy whose authority has lapsed, it also lists
	// all groups that may have changed since the proxy's version. It is empty if the reply contains a delta or
	// the proxy has that view.
	Groups []Group `json:"groups,omitempty" cbor:"groups,omitempty"`
	// LogSamples lists the recent points of the groups' logs that control knows.
	LogSamples []LogSample `json:"samples,omitempty" cbor:"samples,omitempty"`
	// Quotas renews the caps of the workspaces that the report lists. If it is nil, none is
	// renewed.
	Quotas *QuotaGrant `json:"quotas,omitempty" cbor:"quotas,omitempty"`
	// Controls lists the control processes that take part in votes.
	Controls []ctid.Control `json:"controls,omitempty" cbor:"controls,omitempty"`
	// NotLeader reports that the replying process is not the leader of control.
	NotLeader bool `json:"unready,omitempty" cbor:"unready,omitempty"`
	// LeaderAddress is the address of the leader, or nil if it is unknown.
	LeaderAddress *netip.AddrPort `json:"leader,omitempty" cbor:"leader,omitempty"`
}

// LogSample is a point in a group's log that the primary reported to control.
type LogSample struct {
	_     struct{}         `cbor:",toarray"`
	Group ctid.Group       `json:"group" cbor:"group"`
	Point ctposition.Point `json:"point" cbor:"point"`
	// Age is the time from control's query to the primary until this reply.
	Age time.Duration `json:"ago" cbor:"ago"`
}

// Check returns an error of kind cterror.Invalid for the first fault in the authority, the
// leases, the quotas or the delta. It does not check other fields.
func (r *Reply) Check() error {
	if r.AuthorityTTL < 0 {
		return negativeTTLError()
	}
	for _, l := range r.Leases {
		if err := l.Group.Check(); err != nil {
			return err
		}
		if l.TTL < 0 {
			return negativeTTLError()
		}
	}
	if r.Quotas != nil {
		if err := r.Quotas.Check(); err != nil {
			return err
		}
	}
	if r.Delta == nil {
		return nil
	}
	return r.Delta.Check()
}
