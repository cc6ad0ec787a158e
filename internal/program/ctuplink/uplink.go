package ctuplink

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctstate"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

// Timeouts, delays and lifetimes of the uplink.
const (
	// callTimeout bounds a call, such as a report with its reply.
	callTimeout = ctframe.ReportTimeout
	// defaultWatchTimeout bounds a watch with its reply if the options set no limit.
	defaultWatchTimeout = 10 * time.Second
	// relayOpenTimeout bounds the opening of a stream to control for another proxy.
	relayOpenTimeout = 150 * time.Millisecond
	// announcementTTL is how long an announcement is retained after it was received.
	// Until then it is part of each report, so that control knows that the member is
	// alive.
	announcementTTL = 3 * time.Second
)

// Transport opens streams to other processes.
type Transport interface {
	ctframe.Transport
	// Disconnect closes all connections to a process that is gone.
	Disconnect(address netip.AddrPort)
}

// ViewSubscriber is a part of the proxy that needs each newer view.
type ViewSubscriber interface {
	// ApplyView applies a newer view. The uplink calls it for one view at a time, in the
	// order of their versions.
	ApplyView(held *ctlock.Held, view *ctview.View)
}

// MemberSource supplies what reports say of the members that this proxy holds.
type MemberSource interface {
	// HeldMembers returns the current state of each held member.
	HeldMembers(held *ctlock.Held) []ctview.MemberReport
}

// StatusSource supplies what reports say of primaries and fences, and receives the
// samples of groups' logs in control's replies.
type StatusSource interface {
	// GroupStatus returns the current status of the groups in use.
	GroupStatus(held *ctlock.Held) GroupStatus
	// AddSample adds a sample of a group's log: the point in the primary's answer to a
	// query that control sent no earlier than sentAt.
	AddSample(held *ctlock.Held, group ctid.Group, sentAt time.Time, point ctposition.Point)
}

// QuotaSource supplies what reports say of the workspaces with rate limits, and receives the
// caps in control's replies.
type QuotaSource interface {
	// QuotaDemands returns the demands for a report that is built at the time now. The proxy
	// gives up the caps of the workspaces that it leaves out.
	QuotaDemands(held *ctlock.Held, now time.Time) []ctview.QuotaDemand
	// RenewCaps puts the caps of the workspaces in a report into force until expiresAt.
	RenewCaps(held *ctlock.Held, reported []ctview.QuotaDemand, grant *ctview.QuotaGrant, expiresAt time.Time)
}

// GroupStatus is what a proxy reports of groups.
type GroupStatus struct {
	// Reachable lists the primaries that answer this proxy, and Unreachable those that
	// don't.
	Reachable   []ctid.Member
	Unreachable []ctid.Member
	// Fences lists the fences that the proxy enforces.
	Fences []ctview.FenceReport
}

// Options are the dependencies and settings of an Uplink.
type Options struct {
	Self ctview.Proxy
	// Seeds are the addresses of control processes in the settings.
	Seeds []netip.AddrPort
	// Peers are the addresses of proxies from which a proxy without a view fetches it.
	Peers             []netip.AddrPort
	HeartbeatInterval time.Duration
	// WatchTimeout bounds a watch with its reply; 0 means 10 s.
	WatchTimeout time.Duration
	State        *ctstate.State
	// Members is nil if this proxy holds no members.
	Members MemberSource
	// Groups is nil unless an external service promotes the members of groups.
	Groups StatusSource
	// Quotas is nil if this proxy does not limit workspaces.
	Quotas QuotaSource
	// Resolve returns the address of a control process by the name that control sent. It
	// is nil if the addresses in Seeds never change.
	Resolve     func(ctid.Control) (netip.AddrPort, bool)
	Subscribers []ViewSubscriber
	Transport   Transport
	Clock       ctclock.Clock
	Logger      zerolog.Logger
	Metrics     *ctmetric.Metrics
}

// Uplink exchanges reports and views with control. Its methods may be called
// concurrently.
type Uplink struct {
	Options

	announcements cttable.Table[ctid.Member, announcementEntry]
	// reportNow receives a value when the next report is to be sent at once.
	reportNow chan struct{}
	// state is this proxy's state in reports.
	state cttable.Cell[ctserver.State]
	// seeds holds control's addresses in the settings.
	seeds cttable.Cell[[]netip.AddrPort]
	// controls holds the addresses of the control processes that control's replies named.
	controls cttable.Cell[[]netip.AddrPort]
	// route is how the last report was answered. Its address is invalid while reports
	// fail.
	route cttable.Cell[route]
	// routeFound receives a value when reports are answered by another process than before.
	routeFound chan struct{}
	// applying is locked while a view is applied and passed to the subscribers. Two
	// goroutines do so, and an older view must not come after a newer one.
	applying cttable.Cell[struct{}]
	// deregistered reports whether Deregister was called. No other report is sent then.
	deregistered atomic.Bool
}

// route is the process that answers reports: a process of control, or a proxy that relays.
type route struct {
	address netip.AddrPort
	relayed bool
}

// finalReportNumber is the number of a proxy's last report. It is higher than that of
// any other report.
const finalReportNumber = ^uint64(0)

// announcementEntry is a member's newest announcement.
type announcementEntry struct {
	announcement ctserver.Announcement
	receivedAt   time.Time
}

// New returns an uplink in state StateReady. Run starts its work.
func New(options Options) *Uplink {
	u := &Uplink{
		Options:       options,
		announcements: cttable.Table[ctid.Member, announcementEntry]{Rank: ctlock.RankAnnouncements},
		state:         cttable.Cell[ctserver.State]{Rank: ctlock.RankUplink},
		reportNow:     make(chan struct{}, 1),

		routeFound: make(chan struct{}, 1),

		seeds:    cttable.Cell[[]netip.AddrPort]{Rank: ctlock.RankUplink},
		controls: cttable.Cell[[]netip.AddrPort]{Rank: ctlock.RankUplink},
		route:    cttable.Cell[route]{Rank: ctlock.RankUplink},
		applying: cttable.Cell[struct{}]{Rank: ctlock.RankUplink},
	}
	u.SetSeeds(options.Seeds)
	u.SetState(ctserver.StateReady)
	return u
}

// Run sends reports and applies newer views until ctx ends. It returns earlier after
// Deregister; views are then still applied until ctx ends.
func (u *Uplink) Run(ctx context.Context) {
	go u.watchViews(ctx)
	u.sendReports(ctx)
}

// TriggerReport makes the next report go out at once. It does not wait for it.
func (u *Uplink) TriggerReport() {
	select {
	case u.reportNow <- struct{}{}:
	default:
	}
}

// SetSeeds replaces control's addresses from the settings.
func (u *Uplink) SetSeeds(addresses []netip.AddrPort) {
	var held ctlock.Held
	u.seeds.With(&held, func(value *[]netip.AddrPort) { *value = addresses })
}

// SetState sets the proxy's state, which says whether it accepts new work, and
// triggers a report.
func (u *Uplink) SetState(state ctserver.State) {
	var held ctlock.Held
	u.state.With(&held, func(value *ctserver.State) { *value = state })
	u.TriggerReport()
}

// Announce records a member's announcement and triggers a report if it has changed. An
// announcement of an earlier run of the member's process is rejected with an error of
// kind cterror.Conflict.
func (u *Uplink) Announce(announcement ctserver.Announcement) error {
	if err := announcement.Check(); err != nil {
		return err
	}
	var held ctlock.Held
	changed, stale := false, false
	u.announcements.With(&held, func(entries map[ctid.Member]*announcementEntry) {
		entry, ok := entries[announcement.Member]
		if ok && !announcement.Supersedes(&entry.announcement) {
			stale = true
			return
		}
		changed = !ok || entry.announcement != announcement
		entries[announcement.Member] = &announcementEntry{announcement: announcement, receivedAt: u.Clock.Now()}
	})
	if stale {
		return cterror.New(cterror.Conflict, "the announcement is of an earlier run of the backend server",
			"stop the earlier run")
	}
	if changed {
		u.TriggerReport()
	}
	return nil
}
