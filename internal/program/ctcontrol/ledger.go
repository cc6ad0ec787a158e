package ctcontrol

import (
	"cmp"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctfailover"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/fleet/ctroster"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// leaderState is what the replicated log made and, while this process leads control,
// all that it knows of the fleet.
type leaderState struct {
	register ctregister.Register
	// results holds what the commands applied last came to.
	results        map[ctquorum.Index]ctregister.Result
	lastProposalID ctquorum.ProposalID
	waiters        map[ctquorum.ProposalID]chan<- ctregister.Result

	// leading reports whether this process leads, and authority until when it
	// may act on it.
	leading            bool
	authorityExpiresAt time.Time
	leader             ctquorum.Peer
	// proposedAt holds when decisions on groups were proposed that are not
	// applied yet.
	proposedAt map[ctid.Group]time.Time
	roster     ctroster.Roster
	failovers  map[ctid.Group]*ctfailover.Machine
	// successions decide on the groups that an external service promotes in.
	successions map[ctid.Group]*ctsuccession.Machine
	proxies     *ctsuccession.ProxyTracker
	// tickCount counts how often the successions could decide.
	tickCount       uint64
	epoch           ctquorum.Epoch
	blocked         map[ctid.Group]ctfailover.Reason
	leadingSince    time.Time
	initialViewSent bool
	reportTimeout   time.Duration
	watchers        []chan struct{}
	// lastNotified is when those who wait were woken last, and news whether there is
	// something that they have not been woken for.
	lastNotified  time.Time
	notifyPending bool
	// recentConfigs lists the configurations that were accepted last, the newest last.
	recentConfigs []recordedConfig
	// membersComparedAt is when the members were last compared with those noted.
	membersComparedAt time.Time
}

// decisionPending reports whether a decision on the group is proposed and not applied.
func (l *leaderState) decisionPending(name ctid.Group) bool {
	_, ok := l.proposedAt[name]
	return ok
}

// authorityGrace is how long a leader without authority still answers proxies: it
// may hear of a majority again.
const authorityGrace = 300 * time.Millisecond

// isActiveLeader reports whether this process leads and has heard of a majority lately.
func (l *leaderState) isActiveLeader(now time.Time) bool {
	return l.leading && now.Before(l.authorityExpiresAt.Add(authorityGrace))
}

// hasAuthority reports whether this process may act as the leader.
func (l *leaderState) hasAuthority(now time.Time) bool {
	return l.leading && now.Before(l.authorityExpiresAt)
}

// startLeading starts the ledger of a new leader.
func (l *leaderState) startLeading(now time.Time, epoch ctroster.Epoch, reportTimeout time.Duration) {
	l.roster.Reset(epoch)
	l.failovers = make(map[ctid.Group]*ctfailover.Machine)
	l.successions = make(map[ctid.Group]*ctsuccession.Machine)
	l.proxies = ctsuccession.NewProxyTracker(now)
	l.epoch = ctquorum.Epoch(epoch)
	l.blocked = make(map[ctid.Group]ctfailover.Reason)
	l.proposedAt = make(map[ctid.Group]time.Time)
	l.leading = true
	l.leadingSince = now
	l.initialViewSent = false
	l.reportTimeout = reportTimeout
	for _, g := range l.register.Groups {
		l.roster.SetGroup(g)
	}
	for i := range l.register.Members {
		l.roster.ApplyAnnouncement(now, &l.register.Members[i])
	}
	l.membersComparedAt = now
	for _, r := range l.recentConfigs {
		l.roster.RetainConfig(r.config)
	}
	l.applyConfig(now, l.register.CurrentConfig())
}

// recordConfig notes an accepted configuration, whether this process leads or not.
func (l *leaderState) recordConfig(now time.Time, accepted ctconfig.AcceptedChange) {
	l.recentConfigs = append(l.recentConfigs, recordedConfig{
		config:     ctview.Config{Revision: accepted.Revision, Document: accepted.Change.Document},
		recordedAt: now,
	})
	if len(l.recentConfigs) > maxRecentConfigs {
		l.recentConfigs = l.recentConfigs[len(l.recentConfigs)-maxRecentConfigs:]
	}
}

// recordedConfig is an accepted configuration and when this process learnt of it.
type recordedConfig struct {
	config     ctview.Config
	recordedAt time.Time
}

// configTimeLeft returns how long a proxy with a revision of the configuration may still act
// on it, where newer ones must be in force everywhere within a time; it is limited
// where there is a newer one. A proxy without a configuration serves nothing.
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

// maxRecentConfigs is how many configurations a process notes, for the case that it
// comes to lead.
const maxRecentConfigs = 8

// saveMembersInterval is the least time between two notes of the members, for each
// rememberedAtOnce of them: a note holds them all.
const (
	saveMembersInterval    = time.Second
	membersPerSaveInterval = 200
)

// unsavedMembers returns the members, where they are not those that are noted.
func (l *leaderState) unsavedMembers(now time.Time) ([]ctserver.Announcement, bool) {
	interval := saveMembersInterval * time.Duration(1+len(l.register.Members)/membersPerSaveInterval)
	if len(l.successions) == 0 || now.Sub(l.membersComparedAt) < interval {
		return nil, false
	}
	l.membersComparedAt = now
	members := l.roster.Members()
	slices.SortFunc(members, func(a, b ctserver.Announcement) int { return cmp.Compare(a.Member, b.Member) })
	return members, !slices.Equal(members, l.register.Members)
}

// memberTTL is how long a member may go unannounced before it is dropped. Where
// proxies find out by themselves whether a member answers, it may be cut off from
// control and still serve.
func (l *leaderState) memberTTL() time.Duration {
	if len(l.successions) > 0 {
		return externalMemberTTL
	}
	return defaultMemberTTL
}

// applyConfig takes an accepted configuration into force.
func (l *leaderState) applyConfig(now time.Time, accepted ctconfig.AcceptedChange) {
	document := accepted.Change.Document
	l.roster.SetConfig(ctview.Config{Revision: accepted.Revision, Document: document})
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

// startSuccession starts the machine of a group that an external service promotes in,
// where there is none.
func (l *leaderState) startSuccession(now time.Time, name ctid.Group) {
	if _, ok := l.successions[name]; ok {
		return
	}
	machine := &ctsuccession.Machine{}
	machine.Begin(now, l.proxies)
	for _, announcement := range l.roster.Members() {
		if announcement.Group == name {
			machine.ApplyAnnouncement(now, announcement)
		}
	}
	l.successions[name] = machine
}

// allowsPartialView reports whether a proxy with a version of the view gets what a new
// leader knows before that has heard of everything: a proxy without a view, or
// with one that this leader made, is better off with it. Where holders are
// chosen from the view, a half empty one would make them change.
func (l *leaderState) allowsPartialView(version ctview.Version) bool {
	return len(l.successions) > 0 && (version == 0 || l.roster.Issued(version))
}

// deltaFor returns the delta from a version, or nil where there is none to give.
func (l *leaderState) deltaFor(now time.Time, version ctview.Version, revision ctid.Revision) *ctview.Delta {
	if now.Sub(l.leadingSince) < initialViewDelay && !l.allowsPartialView(version) {
		return nil
	}
	return l.roster.DeltaSince(version, revision)
}

const (
	// notifyIntervalPerProxy is how much of the time between two notices of members and proxies
	// that come and go each proxy adds: each notice is sent to all.
	notifyIntervalPerProxy = time.Millisecond
	// unthrottledProxies is up to how many proxies are told of everything at once.
	unthrottledProxies = 64
	// maxNotifyInterval is the longest time between two such notices.
	maxNotifyInterval = time.Second
)

// notifyThrottled wakes those who wait for a newer view, unless many were woken just now:
// then it is left to the next tick that may.
func (l *leaderState) notifyThrottled(now time.Time) {
	count := l.proxies.Count()
	interval := min(time.Duration(count)*notifyIntervalPerProxy, maxNotifyInterval)
	if count > unthrottledProxies && now.Sub(l.lastNotified) < interval {
		l.notifyPending = true
		return
	}
	l.lastNotified = now
	l.notifyWatchers()
}

// notifyWatchers wakes those who wait for a newer view.
func (l *leaderState) notifyWatchers() {
	l.notifyPending = false
	for _, w := range l.watchers {
		close(w)
	}
	l.watchers = nil
}
