package ctmodel

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
)

// liveTime is the time at the end of a run in which a commit has to be acknowledged.
const liveTime = 5 * time.Second

// checkPromoted checks the log of a member that leads from now on.
func (w *world) checkPromoted(m *member) {
	for _, e := range w.group.acknowledged {
		if !m.has(e) {
			w.violate(RuleLost, "%s leads term %d with %s, lacks %s", m.name, m.term, m.status().Received, pointOf(e))
			return
		}
	}
}

// checkAcknowledged checks and records a commit that is acknowledged now.
func (w *world) checkAcknowledged(c *commit) {
	w.report.Acknowledged++
	if w.report.RecoveredAfter == 0 && c.startedAt.After(w.start.Add(w.plan.Faults)) {
		w.report.RecoveredAfter = w.now.Sub(w.start.Add(w.plan.Faults))
	}
	switch {
	case c.entry.term < c.newestTerm:
		w.violate(RuleReplaced, "%s by %s", pointOf(c.entry), c.proxy.name)
	case c.entry.term < w.group.term && !hasEntry(w.group.promotedLog, c.entry):
		w.violate(RuleLate, "%s by %s", pointOf(c.entry), c.proxy.name)
	}
	if len(w.group.acknowledged) > 0 {
		w.report.LongestGap = max(w.report.LongestGap, w.now.Sub(w.acknowledgedAt))
	}
	w.acknowledgedAt = w.now
	w.group.acknowledged = append(w.group.acknowledged, c.entry)
	c.proxy.acknowledgedAt = w.now
}

// checkLive checks that every proxy has acknowledged a commit at the end of a run. A leader that
// is cut off from the service for good can't promote a member.
func (w *world) checkLive() {
	if w.severed != nil && w.severed == w.election.leader {
		return
	}
	for _, p := range w.proxies {
		if w.now.Sub(p.acknowledgedAt) > liveTime {
			w.violate(RuleLive, "none through %s since %s; group %+v", p.name, p.acknowledgedAt.Sub(w.start), w.decided())
			return
		}
	}
}

// traceCommand records a command that the register has applied.
func (w *world) traceCommand(command ctregister.Command, result ctregister.Result) {
	switch c := command.(type) {
	case ctregister.SetGroup:
		set, _ := result.(ctregister.GroupSet)
		w.trace("register %s: primary %s term %d fence %d candidate %s unsettled %v requester %v applied %t",
			c.Reason, c.Group.Primary, c.Group.Term, c.Group.Fence, c.Group.Candidate, w.decided().Unsettled,
			w.decided().Requester, set.Applied)
	case ctregister.SettlePromotions:
		w.trace("register settles %v, left %v", c.Promotions, w.decided().Unsettled)
	case ctregister.ReleaseRequester:
		released, _ := result.(ctregister.RequesterReleased)
		w.trace("register releases %v (%s), applied %t", c.Requester, c.Reason, !released.Requester.IsZero())
	case ctregister.SetMembers:
		w.trace("register has %d members, %d silent", len(c.Members), len(c.Silent))
	}
}
