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

// ledger is what the replicated log made and, while this process leads control,
// all that it knows of the fleet.
type ledger struct {
	register ctregister.Register
	// results holds what the commands applied last came to.
	results map[ctquorum.Index]ctregister.Result
	ticket  ctquorum.ProposalID
	waiters map[ctquorum.ProposalID]chan<- ctregister.Result

	// leading reports whether this process leads, and authority until when it
	// may act on it.
	leading   bool
	authority time.Time
	leader    ctquorum.Peer
	// proposed holds when decisions on groups were proposed that are not
	// applied yet.
	proposed map[ctid.Group]time.Time
	roster   ctroster.Roster
	machines map[ctid.Group]*ctfailover.Machine
	// successions decide on the groups that an external service promotes in.
	successions map[ctid.Group]*ctsuccession.Machine
	proxies     *ctsuccession.ProxyTracker
	// ticks counts how often the successions could decide.
	ticks    uint64
	epoch    ctquorum.Epoch
	blocked  map[ctid.Group]ctfailover.Reason
	began    time.Time
	settled  bool
	silence  time.Duration
	watchers []chan struct{}
	// notified is when those who wait were woken last, and news whether there is
	// something that they have not been woken for.
	notified time.Time
	news     bool
	// recent lists the configurations that were accepted last, the newest last.
	recent []noted
	// remembered is when the members were last compared with those noted.
	remembered time.Time
}

// moving reports whether a decision on the group is proposed and not applied.
func (l *ledger) moving(name ctid.Group) bool {
	_, ok := l.proposed[name]
	return ok
}

// officeGrace is how long a leader without authority still answers proxies: it
// may hear of a majority again.
const officeGrace = 300 * time.Millisecond

// inOffice reports whether this process leads and has heard of a majority lately.
func (l *ledger) inOffice(now time.Time) bool {
	return l.leading && now.Before(l.authority.Add(officeGrace))
}

// authorized reports whether this process may act as the leader.
func (l *ledger) authorized(now time.Time) bool {
	return l.leading && now.Before(l.authority)
}

// lead starts the ledger of a new leader.
func (l *ledger) lead(now time.Time, epoch ctroster.Epoch, silence time.Duration) {
	l.roster.Reset(epoch)
	l.machines = make(map[ctid.Group]*ctfailover.Machine)
	l.successions = make(map[ctid.Group]*ctsuccession.Machine)
	l.proxies = ctsuccession.NewProxyTracker(now)
	l.epoch = ctquorum.Epoch(epoch)
	l.blocked = make(map[ctid.Group]ctfailover.Reason)
	l.proposed = make(map[ctid.Group]time.Time)
	l.leading = true
	l.began = now
	l.settled = false
	l.silence = silence
	for _, g := range l.register.Groups {
		l.roster.SetGroup(g)
	}
	for i := range l.register.Members {
		l.roster.ApplyAnnouncement(now, &l.register.Members[i])
	}
	l.remembered = now
	for _, n := range l.recent {
		l.roster.RetainConfig(n.config)
	}
	l.configure(now, l.register.CurrentConfig())
}

// note notes an accepted configuration, whether this process leads or not.
func (l *ledger) note(now time.Time, accepted ctconfig.AcceptedChange) {
	l.recent = append(l.recent, noted{
		config: ctview.Config{Revision: accepted.Revision, Document: accepted.Change.Document},
		at:     now,
	})
	if len(l.recent) > maxRecent {
		l.recent = l.recent[len(l.recent)-maxRecent:]
	}
}

// noted is an accepted configuration and when this process learnt of it.
type noted struct {
	config ctview.Config
	at     time.Time
}

// overdue returns how long a proxy with a revision of the configuration may still act
// on it, where newer ones must be in force everywhere within a time; it is limited
// where there is a newer one. A proxy without a configuration serves nothing.
func (l *ledger) overdue(
	now time.Time, revision ctid.Revision, within time.Duration,
) (left time.Duration, limited bool) {
	if within == 0 || revision == 0 {
		return 0, false
	}
	for _, n := range l.recent {
		if n.config.Revision > revision {
			return n.at.Add(within).Sub(now), true
		}
	}
	return 0, false
}

// maxRecent is how many configurations a process notes, for the case that it
// comes to lead.
const maxRecent = 8

// rememberTime is the least time between two notes of the members, for each
// rememberedAtOnce of them: a note holds them all.
const (
	rememberTime     = time.Second
	rememberedAtOnce = 200
)

// forgotten returns the members, where they are not those that are noted.
func (l *ledger) forgotten(now time.Time) ([]ctserver.Announcement, bool) {
	wait := rememberTime * time.Duration(1+len(l.register.Members)/rememberedAtOnce)
	if len(l.successions) == 0 || now.Sub(l.remembered) < wait {
		return nil, false
	}
	l.remembered = now
	members := l.roster.Members()
	slices.SortFunc(members, func(a, b ctserver.Announcement) int { return cmp.Compare(a.Member, b.Member) })
	return members, !slices.Equal(members, l.register.Members)
}

// memberTime is how long a member may go unannounced before it is dropped. Where
// proxies find out by themselves whether a member answers, it may be cut off from
// control and still serve.
func (l *ledger) memberTime() time.Duration {
	if len(l.successions) > 0 {
		return cutOffTime
	}
	return memberTime
}

// configure takes an accepted configuration into force.
func (l *ledger) configure(now time.Time, accepted ctconfig.AcceptedChange) {
	document := accepted.Change.Document
	l.roster.SetConfig(ctview.Config{Revision: accepted.Revision, Document: document})
	for _, g := range document.Groups {
		if g.Promotion == ctconfig.PromotionExternal {
			l.succeed(now, g.Name)
			continue
		}
		machine, ok := l.machines[g.Name]
		if !ok {
			machine = &ctfailover.Machine{}
			machine.Begin(now, l.register.LongestLease(g.Name))
			l.machines[g.Name] = machine
		}
		machine.Size = g.Size
		machine.ReportTimeout = l.silence
		settings := document.EffectiveSettings(g.Name, now)
		machine.LeaseTTL = settings.Failovers.LeaseTTL.Or(ctconfig.DefaultLeaseTTL)
	}
	for name := range l.machines {
		if _, declared := document.Group(name); !declared {
			delete(l.machines, name)
			l.roster.RemoveGroup(name)
		}
	}
	for name := range l.successions {
		if _, declared := document.Group(name); !declared {
			delete(l.successions, name)
			l.roster.RemoveGroup(name)
		}
	}
	l.notify()
}

// succeed starts the machine of a group that an external service promotes in,
// where there is none.
func (l *ledger) succeed(now time.Time, name ctid.Group) {
	if _, ok := l.successions[name]; ok {
		return
	}
	machine := &ctsuccession.Machine{}
	machine.Begin(now, l.proxies)
	for _, announced := range l.roster.Members() {
		if announced.Group == name {
			machine.ApplyAnnouncement(now, announced)
		}
	}
	l.successions[name] = machine
}

// shownAtOnce reports whether a proxy with a version of the view gets what a new
// leader knows before that has heard of everything: a proxy without a view, or
// with one that this leader made, is better off with it. Where holders are
// chosen from the view, a half empty one would make them change.
func (l *ledger) shownAtOnce(version ctview.Version) bool {
	return len(l.successions) > 0 && (version == 0 || l.roster.Issued(version))
}

// delta returns the delta from a version, or nil where there is none to give.
func (l *ledger) delta(now time.Time, version ctview.Version, revision ctid.Revision) *ctview.Delta {
	if now.Sub(l.began) < settleTime && !l.shownAtOnce(version) {
		return nil
	}
	return l.roster.DeltaSince(version, revision)
}

const (
	// noticeShare is how much of the time between two notices of members and proxies
	// that come and go each proxy adds: each notice is sent to all.
	noticeShare = time.Millisecond
	// promptProxies is up to how many proxies are told of everything at once.
	promptProxies = 64
	// maxNotice is the longest time between two such notices.
	maxNotice = time.Second
)

// notifySoon wakes those who wait for a newer view, unless many were woken just now:
// then it is left to the next tick that may.
func (l *ledger) notifySoon(now time.Time) {
	count := l.proxies.Count()
	wait := min(time.Duration(count)*noticeShare, maxNotice)
	if count > promptProxies && now.Sub(l.notified) < wait {
		l.news = true
		return
	}
	l.notified = now
	l.notify()
}

// notify wakes those who wait for a newer view.
func (l *ledger) notify() {
	l.news = false
	for _, w := range l.watchers {
		close(w)
	}
	l.watchers = nil
}
