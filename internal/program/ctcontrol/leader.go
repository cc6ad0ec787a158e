package ctcontrol

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctfailover"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctpromotion"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/fleet/ctroster"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// leaderState holds the register that the replicated log produces and, while this process
// leads control, the leader's knowledge of the fleet.
type leaderState struct {
	// self is the name of this process.
	self     ctid.Control
	register ctregister.Register
	// results holds the results of recently applied commands, until their proposals
	// complete. It is filled only while there are waiters.
	results        map[ctquorum.Index]ctregister.Result
	lastProposalID ctquorum.ProposalID
	waiters        map[ctquorum.ProposalID]chan<- ctregister.Result

	// leading reports whether this process leads, and authorityExpiresAt is until when it
	// may act as the leader.
	leading            bool
	authorityExpiresAt time.Time
	leader             ctquorum.Peer
	// proposedAt holds the times at which decisions on groups were proposed that are not
	// applied yet.
	proposedAt map[ctid.Group]time.Time
	roster     ctroster.Roster
	// failovers holds the machines of the groups whose primaries control changes itself.
	failovers map[ctid.Group]*ctfailover.Machine
	// successions holds the machines of the groups whose primaries an external service
	// promotes.
	successions map[ctid.Group]*ctsuccession.Machine
	proxies     *ctsuccession.ProxyTracker
	// machinesStarted counts the successions that this leader has created.
	machinesStarted uint64
	// ledger records the requests for the promotions that this process has decided on, in all
	// epochs, and requests those that it has sent as a requester.
	ledger   ctpromotion.Ledger
	requests ctpromotion.Requests
	// offers holds the requests that it offers to other requesters.
	offers ctpromotion.Offers
	// tickCount counts the ticks in which successions were advanced.
	tickCount uint64
	epoch     ctquorum.Epoch
	// blocked holds the last logged reason why a group's wanted change cannot proceed.
	blocked         map[ctid.Group]ctfailover.Reason
	leadingSince    time.Time
	initialViewSent bool
	reportTimeout   time.Duration
	watchers        watchers
	// lastNotified is when the watchers were last woken. notifyPending reports whether
	// there is a change for which they have not been woken.
	lastNotified  time.Time
	notifyPending bool
	// recentConfigs lists the most recently accepted configurations, the newest last.
	recentConfigs []recordedConfig
	savedMembers
	// waits holds what the changes of primaries wait for, as logged last.
	waits map[ctid.Group][]ctsuccession.Wait
	quotaState
}

// decisionPending reports whether a decision on the group is proposed and not yet
// applied.
func (l *leaderState) decisionPending(name ctid.Group) bool {
	_, ok := l.proposedAt[name]
	return ok
}

// authorityGrace is how long a leader that has lost its authority still answers proxies.
// It may regain authority with the next replies of a majority.
const authorityGrace = 300 * time.Millisecond

// isActiveLeader reports whether this process leads and has, or had until recently,
// authority.
func (l *leaderState) isActiveLeader(now time.Time) bool {
	return l.leading && now.Before(l.authorityExpiresAt.Add(authorityGrace))
}

// hasAuthority reports whether this process may act as the leader.
func (l *leaderState) hasAuthority(now time.Time) bool {
	return l.leading && now.Before(l.authorityExpiresAt)
}

// startLeading resets the leader's knowledge for a new epoch and fills it from the
// register and the recent configurations.
func (l *leaderState) startLeading(now time.Time, epoch ctroster.Epoch, reportTimeout time.Duration) {
	l.roster.Reset(epoch)
	l.failovers = make(map[ctid.Group]*ctfailover.Machine)
	l.successions = make(map[ctid.Group]*ctsuccession.Machine)
	l.proxies = ctsuccession.NewProxyTracker(now)
	l.epoch = ctquorum.Epoch(epoch)
	l.ledger.Lead(ctview.Epoch(epoch))
	l.requests.Lead(ctview.Epoch(epoch))
	l.blocked = make(map[ctid.Group]ctfailover.Reason)
	l.proposedAt = make(map[ctid.Group]time.Time)
	l.leading = true
	l.leadingSince = now
	l.initialViewSent = false
	l.reportTimeout = reportTimeout
	l.startQuotas(now)
	for _, g := range l.register.Groups {
		l.roster.SetGroup(g)
	}
	for i := range l.register.Members {
		l.roster.ApplyAnnouncement(now, &l.register.Members[i])
	}
	l.membersComparedAt = now
	l.indexSavedRuns()
	l.waits = make(map[ctid.Group][]ctsuccession.Wait)
	for _, r := range l.recentConfigs {
		l.roster.RetainConfig(r.config)
	}
	l.applyConfig(now, l.register.CurrentConfig())
}

// recordConfig records an accepted configuration. Followers do this too, so that they
// have the recent configurations when they become the leader.
func (l *leaderState) recordConfig(now time.Time, accepted ctconfig.AcceptedChange) {
	l.recentConfigs = append(l.recentConfigs, recordedConfig{
		config:     ctview.Config{Revision: accepted.Revision, Document: accepted.Change.Document},
		recordedAt: now,
	})
	if len(l.recentConfigs) > maxRecentConfigs {
		l.recentConfigs = l.recentConfigs[len(l.recentConfigs)-maxRecentConfigs:]
	}
}

// recordedConfig is an accepted configuration and the time at which this process applied
// it.
type recordedConfig struct {
	config     ctview.Config
	recordedAt time.Time
}

// configTimeLeft returns how long a proxy may still act on a revision of the
// configuration. The time is limited if there is a newer revision, which must be in force
// everywhere within applyTimeout. It is negative once that has passed. An applyTimeout of
// 0 sets no limit. A proxy without a configuration (revision 0) serves nothing and is not
// limited.
func (l *leaderState) configTimeLeft(
	now time.Time, revision ctid.Revision, applyTimeout time.Duration,
) (left time.Duration, limited bool) {
	if applyTimeout == 0 || revision == 0 {
		return 0, false
	}
	for _, r := range l.recentConfigs {
		if r.config.Revision > revision {
			return r.recordedAt.Add(applyTimeout).Sub(now), true
		}
	}
	return 0, false
}

// maxRecentConfigs is how many configurations a process retains for when it becomes the
// leader.
const maxRecentConfigs = 8

// memberTTL returns how long a member stays in the view after its last announcement.
func (l *leaderState) memberTTL() time.Duration {
	if len(l.successions) > 0 {
		return externalMemberTTL
	}
	return defaultMemberTTL
}

// applyConfig puts an accepted configuration into force: it updates the roster and
// creates and deletes the groups' machines.
func (l *leaderState) applyConfig(now time.Time, accepted ctconfig.AcceptedChange) {
	document := accepted.Change.Document
	l.roster.SetConfig(ctview.Config{Revision: accepted.Revision, Document: document})
	l.quotaLedger.SetLimits(document.Workspaces)
	for _, g := range document.Groups {
		if g.Promotion == ctconfig.PromotionExternal {
			l.startSuccession(now, g.Name)
			continue
		}
		machine, ok := l.failovers[g.Name]
		if !ok {
			machine = &ctfailover.Machine{}
			machine.Begin(now, l.register.LongestLease(g.Name))
			l.failovers[g.Name] = machine
		}
		machine.Size = g.Size
		machine.ReportTimeout = l.reportTimeout
		settings := document.EffectiveSettings(g.Name, now)
		machine.LeaseTTL = settings.Failovers.LeaseTTL.Or(ctconfig.DefaultLeaseTTL)
	}
	for name := range l.failovers {
		if _, declared := document.Group(name); !declared {
			delete(l.failovers, name)
			l.roster.RemoveGroup(name)
		}
	}
	for name := range l.successions {
		if _, declared := document.Group(name); !declared {
			delete(l.successions, name)
			l.roster.RemoveGroup(name)
		}
	}
	l.notifyWatchers()
}

// numbersPerMachine is how many promotions a succession numbers at most.
const numbersPerMachine = 1 << 20

// startSuccession creates the machine of a group that an external service promotes in,
// unless it exists.
func (l *leaderState) startSuccession(now time.Time, name ctid.Group) {
	if _, ok := l.successions[name]; ok {
		return
	}
	l.machinesStarted++
	machine := &ctsuccession.Machine{
		Control: l.self, Epoch: ctview.Epoch(l.epoch),
		LastNumber: ctview.PromotionNumber(l.machinesStarted * numbersPerMachine),
	}
	machine.Begin(now, l.proxies)
	machine.ApplyGroup(l.group(name))
	for _, announcement := range l.roster.Members() {
		if announcement.Group == name {
			machine.AddMember(now, announcement)
		}
	}
	for _, announcement := range l.register.Silent {
		if announcement.Group == name {
			machine.AddSilent(announcement)
		}
	}
	if logs, ok := l.register.Lost[name]; ok {
		machine.RestoreLostLogs(logs)
	}
	l.successions[name] = machine
}

// allowsPartialView reports whether a new leader may send a proxy its view before the
// initial view delay has passed. A proxy that has no view, or one issued by this leader,
// is better off with a partial view. Where holders are chosen from the view, the delay
// always applies: members missing from the view would cause changes of holders.
func (l *leaderState) allowsPartialView(version ctview.Version) bool {
	return len(l.successions) > 0 && (version == 0 || l.roster.Issued(version))
}

// deltaFor returns the delta from a proxy's version to the newest, or nil if there is
// nothing newer or the view may not be sent yet.
func (l *leaderState) deltaFor(now time.Time, version ctview.Version, revision ctid.Revision) *ctview.Delta {
	if now.Sub(l.leadingSince) < initialViewDelay && !l.allowsPartialView(version) {
		return nil
	}
	return l.roster.DeltaSince(version, revision)
}

const (
	// notifyIntervalPerProxy is multiplied by the number of proxies to give the least
	// interval between two notifications of members and proxies that come and go. Each
	// notification is sent to all proxies, so its cost grows with their number.
	notifyIntervalPerProxy = time.Millisecond
	// unthrottledProxies is the number of proxies up to which notifications are not
	// throttled.
	unthrottledProxies = 64
	// maxNotifyInterval limits the interval between two throttled notifications.
	maxNotifyInterval = time.Second
	// startNotifyInterval is the least interval during the initial view delay. All proxies of
	// the fleet report to a new leader within that time, and each of them is a change.
	startNotifyInterval = 50 * time.Millisecond
)

// notifyThrottled wakes the watchers, unless there are many proxies or this process has become
// the leader a short time ago, and the last notification was too recent. In that case a later
// tick wakes them.
func (l *leaderState) notifyThrottled(now time.Time) {
	count := l.proxies.Count()
	interval := min(time.Duration(count)*notifyIntervalPerProxy, maxNotifyInterval)
	starting := now.Sub(l.leadingSince) < initialViewDelay
	if starting {
		interval = max(interval, startNotifyInterval)
	}
	if (starting || count > unthrottledProxies) && now.Sub(l.lastNotified) < interval {
		l.notifyPending = true
		return
	}
	l.lastNotified = now
	l.notifyWatchers()
}

// notifyWatchers wakes all calls that wait for a newer view.
func (l *leaderState) notifyWatchers() {
	l.notifyPending = false
	l.watchers.wake()
}
