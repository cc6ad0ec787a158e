package ctuplink

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctdrift"
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
	callTimeout = 700 * time.Millisecond
	// defaultWatchTimeout bounds a watch with its reply if the options set no limit.
	defaultWatchTimeout = 10 * time.Second
	// openTimeout bounds the opening of a stream to control. It is short, so that a VM
	// without power does not keep the proxy from trying the other processes.
	openTimeout = 150 * time.Millisecond
	// slowOpenTimeout replaces openTimeout in one of attemptsPerSlowOpen attempts, so
	// that control can also be reached over a slow network.
	slowOpenTimeout     = 900 * time.Millisecond
	attemptsPerSlowOpen = 5
	// retryDelay is the delay before the next attempt to reach control.
	retryDelay = 30 * time.Millisecond
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
	// ApplyView applies a newer view. The uplink calls it from two goroutines.
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
	// controls holds the addresses of the control processes that the last reply named.
	controls cttable.Cell[[]netip.AddrPort]
	// activeControl is the address of the control process that answered the last report
	// directly. It is invalid while reports fail.
	activeControl cttable.Cell[netip.AddrPort]
	// deregistered reports whether Deregister was called. No other report is sent then.
	deregistered atomic.Bool
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

		seeds:         cttable.Cell[[]netip.AddrPort]{Rank: ctlock.RankUplink},
		controls:      cttable.Cell[[]netip.AddrPort]{Rank: ctlock.RankUplink},
		activeControl: cttable.Cell[netip.AddrPort]{Rank: ctlock.RankUplink},
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

// sendReports sends a report at each heartbeat, and at once after TriggerReport, until
// ctx ends or the proxy is deregistered.
func (u *Uplink) sendReports(ctx context.Context) {
	link := &controlLink{uplink: u}
	defer link.close()
	var held ctlock.Held
	for number := uint64(1); ctx.Err() == nil && !u.deregistered.Load(); number++ {
		result, delay := "answered", u.reportInterval(&held)
		if err := u.reportOnce(ctx, link, u.buildReport(&held, number), &held); err != nil {
			result, delay = "failed", link.nextRetryDelay(u.HeartbeatInterval)
			u.recordControlLost(link, err)
		} else {
			u.recordControlRegained(link)
		}
		u.Metrics.Reports.WithLabelValues(result).Inc()
		select {
		case <-ctx.Done():
		case <-u.reportNow:
		case <-u.Clock.After(delay):
		}
	}
}

const (
	// intervalPerProxy is what each proxy of the fleet adds to the time between two
	// reports, so that control's leader gets no more reports per second than it can
	// answer.
	intervalPerProxy = 3 * time.Millisecond
	// maxReportInterval is the longest time between two reports: a proxy's authority
	// must not expire because one report is lost.
	maxReportInterval = time.Second
)

// reportInterval returns the time between two reports, which grows with the number of
// proxies. Without Options.Groups it is always the heartbeat interval, because write
// leases are too short for a longer one.
func (u *Uplink) reportInterval(held *ctlock.Held) time.Duration {
	if u.Groups == nil {
		return u.HeartbeatInterval
	}
	share := time.Duration(len(u.State.View(held).Proxies)) * intervalPerProxy
	return max(u.HeartbeatInterval, min(share, maxReportInterval))
}

// recordControlLost records that a report failed. It logs the first failure in a row
// at level info and the others at level debug.
func (u *Uplink) recordControlLost(link *controlLink, err error) {
	var held ctlock.Held
	u.activeControl.With(&held, func(value *netip.AddrPort) { *value = netip.AddrPort{} })
	line := u.Logger.Debug()
	if link.lostSince.IsZero() {
		link.lostSince = u.Clock.Now()
		line = u.Logger.Info()
	}
	line.Str("event", "control_lost").Stringer("address", link.address).Str("error", err.Error()).Send()
}

// recordControlRegained records that a report was answered, and logs the first one
// after failures.
func (u *Uplink) recordControlRegained(link *controlLink) {
	var held ctlock.Held
	if !link.viaRelay {
		u.activeControl.With(&held, func(value *netip.AddrPort) { *value = link.address })
	}
	if link.lostSince.IsZero() {
		return
	}
	u.Logger.Info().Str("event", "control_regained").Stringer("address", link.address).
		Bool("relayed", link.viaRelay).Dur("after", u.Clock.Now().Sub(link.lostSince)).Send()
	link.lostSince = time.Time{}
}

// Deregister sends the last report, which says that this proxy stops and has released
// all that it held. Run begins no report after it.
func (u *Uplink) Deregister(ctx context.Context) error {
	u.deregistered.Store(true)
	link := &controlLink{uplink: u}
	defer link.close()
	var held ctlock.Held
	report := u.buildReport(&held, finalReportNumber)
	report.Stopping = true
	return u.reportOnce(ctx, link, report, &held)
}

// reportOnce sends a report and applies its reply.
func (u *Uplink) reportOnce(ctx context.Context, link *controlLink, report *ctview.Report, held *ctlock.Held) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := u.Clock.Now()
	answer, err := link.call(ctx, &ctframe.Report{Report: *report})
	if err != nil {
		return err
	}
	reply, ok := answer.(*ctframe.ReportReply)
	if !ok || reply.Number != report.Number {
		link.close()
		return cterror.New(cterror.Unavailable, "control sent an unexpected answer",
			"check that all processes have one version")
	}
	if err := link.redirect(&reply.Reply); err != nil {
		return err
	}
	link.recordAnswer()
	u.updateControls(held, reply.Controls)
	if err := u.applyReplyDelta(held, reply); err != nil {
		return err
	}
	if len(reply.Groups) > 0 {
		before, after := u.State.ApplyGroups(held, reply.Groups)
		u.notifySubscribers(held, before, after)
	}
	u.State.SetConfigOutdated(held, reply.ConfigOutdated && u.State.View(held).Config.Revision == report.Revision)
	if reply.AuthorityTTL > 0 {
		u.State.ExtendAuthority(held, sentAt.Add(ctdrift.LowerBound(time.Duration(reply.AuthorityTTL))))
	}
	for _, s := range reply.LogSamples {
		u.Groups.AddSample(held, s.Group, sentAt.Add(-ctdrift.UpperBound(s.Age)), s.Point)
	}
	for _, l := range reply.Leases {
		u.State.RecordLease(held, l.Group, l.Term, sentAt.Add(ctdrift.LowerBound(time.Duration(l.TTL))))
	}
	return nil
}

// updateControls replaces the addresses of control by those of the control processes
// that a reply named. It does nothing without Options.Resolve or without names.
func (u *Uplink) updateControls(held *ctlock.Held, names []ctid.Control) {
	if u.Resolve == nil || len(names) == 0 {
		return
	}
	var addresses []netip.AddrPort
	for _, name := range names {
		if address, ok := u.Resolve(name); ok {
			addresses = append(addresses, address)
		}
	}
	u.controls.With(held, func(value *[]netip.AddrPort) { *value = addresses })
}

// controlAddresses lists the addresses at which control may be reached: first those
// that control itself named, then the other seeds.
func (u *Uplink) controlAddresses() []netip.AddrPort {
	var held ctlock.Held
	current := u.controls.Get(&held)
	addresses := slices.Clone(current)
	for _, address := range u.seeds.Get(&held) {
		if !slices.Contains(current, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// buildReport returns a report of the proxy's current state. It removes announcements
// that have expired.
func (u *Uplink) buildReport(held *ctlock.Held, number uint64) *ctview.Report {
	view := u.State.View(held)
	self := u.Self
	self.State = u.state.Get(held)
	report := &ctview.Report{
		Number:   number,
		Proxy:    self,
		Version:  view.Version,
		Revision: view.Config.Revision,
	}
	if u.Members != nil {
		report.HeldMembers = u.Members.HeldMembers(held)
	}
	if u.Groups != nil {
		status := u.Groups.GroupStatus(held)
		report.Reachable, report.Unreachable, report.Fences = status.Reachable, status.Unreachable, status.Fences
	}
	oldest := u.Clock.Now().Add(-announcementTTL)
	u.announcements.With(held, func(entries map[ctid.Member]*announcementEntry) {
		for name, entry := range entries {
			if entry.receivedAt.Before(oldest) {
				delete(entries, name)
				continue
			}
			report.Announcements = append(report.Announcements, entry.announcement)
		}
	})
	return report
}

// applyDelta applies a delta to the view and notifies the subscribers if that changed
// it. It does nothing if delta is nil.
func (u *Uplink) applyDelta(held *ctlock.Held, delta *ctview.Delta) error {
	if delta == nil {
		return nil
	}
	before, after, err := u.State.ApplyDelta(held, delta)
	if err != nil || before == after {
		return err
	}
	u.Metrics.ViewVersion.Set(float64(after.Version))
	u.Metrics.Revision.Set(float64(after.Config.Revision))
	if after.Config.Revision != before.Config.Revision {
		u.State.SetConfigOutdated(held, false)
		u.Logger.Info().Str("event", "decision").Str("decision", "config_in_force").
			Stringer("revision", after.Config.Revision).Str("why", "higher_revision").Send()
		u.TriggerReport()
	}
	u.disconnectRemoved(before, after)
	u.notifySubscribers(held, before, after)
	return nil
}

// notifySubscribers passes a newer view to all subscribers. It does nothing if the view
// is the same as before.
func (u *Uplink) notifySubscribers(held *ctlock.Held, before, after *ctview.View) {
	if before == after {
		return
	}
	for _, s := range u.Subscribers {
		s.ApplyView(held, after)
	}
}

// disconnectRemoved closes the connections to proxies that are no longer in the view or
// that were restarted.
func (u *Uplink) disconnectRemoved(before, after *ctview.View) {
	for name, p := range before.Proxies {
		if name == u.Self.Name || after.Proxies[name].Incarnation == p.Incarnation {
			continue
		}
		u.Transport.Disconnect(p.Address)
	}
}
