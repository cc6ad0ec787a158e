package ctmodel

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctpromotion"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctdrift"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Timing of proxies.
const (
	reportInterval = 400 * time.Millisecond
	// reportTimeout is how long a proxy waits for a reply.
	reportTimeout = 700 * time.Millisecond
	// commitInterval is the mean interval of a proxy's commits, and commitTimeout how long
	// a caller waits.
	commitInterval = 150 * time.Millisecond
	commitTimeout  = 800 * time.Millisecond
	// guardQueryTimeout bounds one query for the status of a guard, and guardRetryDelay is
	// the pause before the next.
	guardQueryTimeout = 300 * time.Millisecond
	guardRetryDelay   = 10 * time.Millisecond
)

// proxy is a proxy with its share of the gateway's state.
type proxy struct {
	name        ctid.Proxy
	incarnation ctid.Incarnation
	view        *ctview.View
	// authority is until when the proxy may act on its view.
	authority time.Time
	// enforced is the fence that the proxy enforces.
	enforced         ctposition.Term
	lastAcknowledged ctposition.Point
	reportAt         time.Time
	commitAt, readAt time.Time
	// acknowledgedAt is when the proxy last acknowledged a commit, for the judge.
	acknowledgedAt time.Time
}

// commit is a commit that a caller waits for.
type commit struct {
	proxy       *proxy
	incarnation ctid.Incarnation
	// term is that of the proxy's view when the commit was sent.
	term      ctposition.Term
	entry     entry
	startedAt time.Time
	// newestTerm is the term of the member promoted last when the commit was made.
	newestTerm ctposition.Term
}

func newProxy(name ctid.Proxy) *proxy {
	return &proxy{name: name, incarnation: 1, view: &ctview.View{}}
}

func (p *proxy) party() party {
	return party(p.name)
}

func (p *proxy) group() ctview.Group {
	return p.view.Groups[groupName]
}

// restartProxy starts a proxy that knows nothing any more.
func (w *world) restartProxy(p *proxy) {
	fresh := newProxy(p.name)
	fresh.incarnation = p.incarnation + 1
	fresh.acknowledgedAt = p.acknowledgedAt
	*p = *fresh
}

// tickProxy sends the report and the commit that are due.
func (w *world) tickProxy(p *proxy) {
	if !w.now.Before(p.reportAt) {
		p.reportAt = w.now.Add(reportInterval)
		w.sendReport(p)
	}
	if !w.now.Before(p.commitAt) {
		p.commitAt = w.now.Add(w.between(0, 2*commitInterval))
		w.sendCommit(p)
	}
	if !w.now.Before(p.readAt) {
		p.readAt = w.now.Add(w.reader.between(0, 2*readInterval))
		w.sendRead(p)
	}
}

// sendReport reports to the leader, over another process of control if need be.
func (w *world) sendReport(p *proxy) {
	leader, ok := w.routeToLeader(p.party())
	if !ok {
		return
	}
	sentAt, incarnation := w.now, p.incarnation
	report := &ctview.Report{
		Proxy:  ctview.Proxy{Name: p.name, Incarnation: p.incarnation},
		Lapsed: p.authority.Before(w.now.Add(reportTimeout)),
	}
	if group := p.group(); group.Primary != "" {
		if w.answers(p.party(), group.Primary) {
			report.Reachable = []ctid.Member{group.Primary}
		} else {
			report.Unreachable = []ctid.Member{group.Primary}
		}
		if group.ChangingPrimary() && p.enforced > 0 {
			report.Fences = []ctview.FenceReport{{Group: groupName, Fence: p.enforced, LastAcknowledged: p.lastAcknowledged}}
		}
	}
	w.onControl(leader, w.latency(), func() {
		group, granted, ok := w.handleReport(leader, report)
		if !ok {
			return
		}
		w.schedule(w.latency(), func() {
			late := w.now.Sub(sentAt) > reportTimeout || (!report.Lapsed && !w.now.Before(p.authority))
			if p.incarnation == incarnation && !late && w.connectedToControl(p.party()) {
				w.applyReply(p, group, granted, sentAt)
			}
		})
	})
}

func (w *world) applyReply(p *proxy, group ctview.Group, granted bool, sentAt time.Time) {
	w.applyGroup(p, group)
	if expiry := sentAt.Add(ctdrift.LowerBound(ctsuccession.AuthorityTTL)); granted && expiry.After(p.authority) {
		p.authority = expiry
	}
}

// applyGroup applies the state of the group to a proxy's view, and enforces its fence.
func (w *world) applyGroup(p *proxy, group ctview.Group) {
	p.view = p.view.WithGroups([]ctview.Group{group})
	if current := p.group(); current.ChangingPrimary() && p.enforced < current.Fence {
		p.enforced, p.reportAt = current.Fence, w.now
	}
}

// pushGroup sends the state of the group to the proxies that wait for changes.
func (w *world) pushGroup(c *control) {
	group := w.decided()
	for _, p := range w.proxies {
		incarnation := p.incarnation
		if leader, ok := w.routeToLeader(p.party()); !ok || leader != c {
			continue
		}
		w.schedule(w.latency(), func() {
			if p.incarnation == incarnation {
				w.applyGroup(p, group)
			}
		})
	}
}

// answers reports whether a member answers a party.
func (w *world) answers(from party, name ctid.Member) bool {
	return w.memberNamed(name).running && w.reachable(from, party(name))
}

// sendCommit sends a commit to the primary of the proxy's view, if the view allows it.
func (w *world) sendCommit(p *proxy) {
	group := p.group()
	allowed := group.Primary != "" && !group.ChangingPrimary() && w.now.Before(p.authority) && p.enforced <= group.Term
	if !allowed || !w.answers(p.party(), group.Primary) {
		return
	}
	c := &commit{proxy: p, incarnation: p.incarnation, term: group.Term, startedAt: w.now}
	m := w.memberNamed(group.Primary)
	w.schedule(w.latency(), func() {
		if m.running && m.primary && w.reachable(p.party(), m.party()) {
			c.entry, c.newestTerm = m.append(), w.group.term
			m.waiting = append(m.waiting, c)
		}
	})
}

// answerCommit sends a member's answer to the proxy, which then queries the guards.
func (w *world) answerCommit(m *member, c *commit) {
	if !w.reachable(m.party(), c.proxy.party()) {
		return
	}
	w.schedule(w.latency(), func() {
		if c.proxy.incarnation == c.incarnation {
			group := c.proxy.group()
			w.awaitGuards(c, guardMembers(&group))
		}
	})
}

// awaitGuards queries the guards, one after another, until each holds the commit.
func (w *world) awaitGuards(c *commit, guards []ctid.Member) {
	if len(guards) == 0 {
		w.acknowledge(c)
		return
	}
	w.queryStatus(c, guards[0], func(status ctquery.Status, answered bool) {
		if answered && ctpromotion.Holds(status, pointOf(c.entry)) {
			w.awaitGuards(c, guards[1:])
			return
		}
		if w.now.Sub(c.startedAt) > commitTimeout {
			w.report.Indoubt++
			return
		}
		w.schedule(guardRetryDelay, func() { w.awaitGuards(c, guards) })
	})
}

// queryStatus asks a member for its status and calls then, unless the proxy has ended.
func (w *world) queryStatus(c *commit, name ctid.Member, then func(status ctquery.Status, answered bool)) {
	m := w.memberNamed(name)
	resume := func(delay time.Duration, status ctquery.Status, answered bool) {
		w.schedule(delay, func() {
			if c.proxy.incarnation == c.incarnation {
				then(status, answered)
			}
		})
	}
	w.schedule(w.latency(), func() {
		if !w.answers(c.proxy.party(), name) {
			resume(guardQueryTimeout, ctquery.Status{}, false)
			return
		}
		resume(w.latency(), m.status(), true)
	})
}

// acknowledge tells the caller that its commit succeeded, by the rule of the gateway.
func (w *world) acknowledge(c *commit) {
	p := c.proxy
	late := w.now.Sub(c.startedAt) > commitTimeout
	if late || !w.now.Before(p.authority) || p.group().Term > c.term || p.enforced > c.term {
		w.report.Indoubt++
		return
	}
	p.lastAcknowledged = ctposition.Later(p.lastAcknowledged, pointOf(c.entry))
	w.checkAcknowledged(c)
}
