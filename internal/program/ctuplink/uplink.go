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

// The times of the uplink.
const (
	// callTimeout bounds a report and its answer.
	callTimeout = 700 * time.Millisecond
	// defaultWatchTimeout bounds a watch with its answer, where the options do not.
	defaultWatchTimeout = 10 * time.Second
	// openTimeout bounds the opening of a way to control, so that a VM without power
	// does not keep the proxy from the others.
	openTimeout = 150 * time.Millisecond
	// longOpenTimeout bounds one in patientEvery tries, for a network that is slow.
	longOpenTimeout = 900 * time.Millisecond
	longOpenEvery   = 5
	// retryDelay is the pause after control could not be reached.
	retryDelay = 30 * time.Millisecond
	// announcementTTL is how long an announcement counts after it was heard: it is
	// reported again until then, so that control knows that the member lives.
	announcementTTL = 3 * time.Second
)

// Transport opens ways to other processes.
type Transport interface {
	ctframe.Transport
	// Disconnect closes what is open to a process that is gone.
	Disconnect(address netip.AddrPort)
}

// ViewSubscriber is told of each newer view.
type ViewSubscriber interface {
	ApplyView(held *ctlock.Held, view *ctview.View)
}

// MemberSource gives the account of the held members.
type MemberSource interface {
	HeldMembers(held *ctlock.Held) []ctview.MemberReport
}

// StatusSource tells what this proxy sees of the primaries, and which fences it keeps
// to.
type StatusSource interface {
	GroupStatus(held *ctlock.Held) GroupStatus
	// AddSample takes the place of a group's log that control asked the primary for
	// no earlier than a time.
	AddSample(held *ctlock.Held, group ctid.Group, sentAt time.Time, point ctposition.Point)
}

// GroupStatus is what a proxy tells control of the primaries.
type GroupStatus struct {
	Reachable   []ctid.Member
	Unreachable []ctid.Member
	Fences      []ctview.FenceReport
}

// Options are the parts and settings of an Uplink.
type Options struct {
	Self              ctview.Proxy
	Seeds             []netip.AddrPort
	Peers             []netip.AddrPort
	HeartbeatInterval time.Duration
	// WatchTimeout bounds a watch with its answer; 10 s where it is 0.
	WatchTimeout time.Duration
	State        *ctstate.State
	Members      MemberSource
	// Groups is nil where no group is promoted in by an external service.
	Groups StatusSource
	// Resolve finds the address of a control process by its name, where control
	// tells names; nil where the addresses in Control do not change.
	Resolve     func(ctid.Control) (netip.AddrPort, bool)
	Subscribers []ViewSubscriber
	Transport   Transport
	Clock       ctclock.Clock
	Logger      zerolog.Logger
	Metrics     *ctmetric.Metrics
}

// Uplink keeps a proxy in touch with control.
type Uplink struct {
	Options

	announcements cttable.Table[ctid.Member, announcementEntry]
	reportNow     chan struct{}
	state         cttable.Cell[ctserver.State]
	// seeds lists where the settings say that control is reached.
	seeds cttable.Cell[[]netip.AddrPort]
	// controls lists where control was told to be reached last.
	controls cttable.Cell[[]netip.AddrPort]
	// activeControl is the control process that answered last; invalid while control is
	// lost.
	activeControl cttable.Cell[netip.AddrPort]
	// deregistered reports that the last report was sent.
	deregistered atomic.Bool
}

// finalReportNumber is the number of a proxy's last report.
const finalReportNumber = ^uint64(0)

// announcementEntry is an announcement with the time at which it was last heard.
type announcementEntry struct {
	announcement ctserver.Announcement
	receivedAt   time.Time
}

// New returns an uplink that is ready to run.
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

// Run reports and follows the view until ctx ends.
func (u *Uplink) Run(ctx context.Context) {
	go u.watchViews(ctx)
	u.sendReports(ctx)
}

// TriggerReport makes the next report go out at once.
func (u *Uplink) TriggerReport() {
	select {
	case u.reportNow <- struct{}{}:
	default:
	}
}

// SetSeeds replaces where the settings say that control is reached.
func (u *Uplink) SetSeeds(addresses []netip.AddrPort) {
	var held ctlock.Held
	u.seeds.With(&held, func(value *[]netip.AddrPort) { *value = addresses })
}

// SetState sets whether this proxy takes new work, and reports it at once.
func (u *Uplink) SetState(state ctserver.State) {
	var held ctlock.Held
	u.state.With(&held, func(value *ctserver.State) { *value = state })
	u.TriggerReport()
}

// Announce takes a member's announcement. One of an earlier run of the member's
// process is refused.
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

// sendReports sends a report at each heartbeat, and at once when hastened.
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
	// intervalPerProxy is how much of the time between two reports each proxy of the fleet
	// adds, so that control's leader hears no more reports a second than it can
	// answer.
	intervalPerProxy = 3 * time.Millisecond
	// maxReportInterval is the longest time between two reports: authority must outlast
	// one that is lost.
	maxReportInterval = time.Second
)

// reportInterval returns the time between two reports. Leases are too short for another one
// than that of the settings.
func (u *Uplink) reportInterval(held *ctlock.Held) time.Duration {
	if u.Groups == nil {
		return u.HeartbeatInterval
	}
	share := time.Duration(len(u.State.View(held).Proxies)) * intervalPerProxy
	return max(u.HeartbeatInterval, min(share, maxReportInterval))
}

// recordControlLost logs the first report in a row that failed, and each later one for
// those who look for more.
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

// recordControlRegained logs the first report that was answered again.
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

// Deregister tells control that this proxy stops and has let go of all that it held.
// No report follows it.
func (u *Uplink) Deregister(ctx context.Context) error {
	u.deregistered.Store(true)
	link := &controlLink{uplink: u}
	defer link.close()
	var held ctlock.Held
	report := u.buildReport(&held, finalReportNumber)
	report.Stopping = true
	return u.reportOnce(ctx, link, report, &held)
}

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
		return cterror.New(cterror.Unavailable, "control gave another answer", "check that all processes have one version")
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

// updateControls notes where control is reached from now on.
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

// controlAddresses lists where control may be reached: where it was told to be, and where
// the settings say.
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

// buildReport makes the report of what this proxy knows now.
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

// applyDelta takes a delta into the view and makes the parts of the proxy follow it.
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

// notifySubscribers makes the parts of the proxy follow a newer view.
func (u *Uplink) notifySubscribers(held *ctlock.Held, before, after *ctview.View) {
	if before == after {
		return
	}
	for _, s := range u.Subscribers {
		s.ApplyView(held, after)
	}
}

// disconnectRemoved closes what is open to proxies that went away or were started again.
func (u *Uplink) disconnectRemoved(before, after *ctview.View) {
	for name, p := range before.Proxies {
		if name == u.Self.Name || after.Proxies[name].Incarnation == p.Incarnation {
			continue
		}
		u.Transport.Disconnect(p.Address)
	}
}
