package ctmodel

import (
	"math/rand/v2"
	"slices"
	"time"
)

// fault is one of cutLinks, crashMember, crashControl, freezeControl and restartProxies.
type fault interface {
	isFault()
}

// cutLinks cuts links for a while.
type cutLinks struct {
	links    []link
	duration time.Duration
}

// crashMember ends a member, which starts again with its log after a while.
type crashMember struct {
	member   *member
	duration time.Duration
}

// crashControl ends a process of control, which starts again after a while.
type crashControl struct {
	control  *control
	duration time.Duration
}

// freezeControl stops a process of control, which goes on after a while.
type freezeControl struct {
	control  *control
	duration time.Duration
}

// restartProxies ends proxies, which start again at once.
type restartProxies struct {
	proxies []*proxy
}

func (cutLinks) isFault()       {}
func (crashMember) isFault()    {}
func (crashControl) isFault()   {}
func (freezeControl) isFault()  {}
func (restartProxies) isFault() {}

// Timing of faults.
const (
	// settleTime is how long a run goes on without faults at first.
	settleTime = 8 * time.Second
	// faultInterval is the longest time between two faults, and longFault is how long they
	// may last.
	faultInterval = 4 * time.Second
	longFault     = 20 * time.Second
	shortFault    = 500 * time.Millisecond
	// severProbability is the probability that a process is cut off from the service for good.
	severProbability = 0.3
	// severedTime is how long that process is then away, and the primary after it.
	severedTime = 3 * time.Second
)

// nextFault begins a fault and schedules the next one.
func (w *world) nextFault() {
	if w.timeLeft() <= shortFault {
		w.severService()
		return
	}
	w.inject(w.newFault())
	w.schedule(w.between(shortFault, faultInterval), w.nextFault)
}

// severService cuts a process of control off from the service for the rest of some runs: the
// requester, if there is one. Another process leads then, and has to replace the primary.
func (w *world) severService() {
	random := rand.New(rand.NewPCG(w.plan.Seed, 1))
	if random.Float64() >= severProbability {
		return
	}
	c := w.controls[random.IntN(len(w.controls))]
	if requester := w.controlOf(party(w.decided().Requester.Control)); requester != nil {
		c = requester
	}
	w.trace("%s is cut off from the service for good", c.name)
	w.severed = c
	w.inject(cutLinks{links: []link{newLink(c.party(), serviceParty)}, duration: w.plan.Faults + w.plan.Recovery})
	if random.Float64() < 0.5 {
		w.inject(crashControl{control: c, duration: severedTime})
	} else {
		w.inject(freezeControl{control: c, duration: severedTime})
	}
	w.schedule(2*severedTime, func() { w.inject(crashMember{member: w.group.latest, duration: severedTime}) })
}

// timeLeft returns the time until all faults have ended.
func (w *world) timeLeft() time.Duration {
	return w.start.Add(w.plan.Faults).Sub(w.now)
}

// faultDuration returns how long a fault lasts. It ends before the phase of faults does.
func (w *world) faultDuration() time.Duration {
	longest := longFault
	if w.chance(0.6) {
		longest = 4 * time.Second
	}
	return max(0, min(w.between(shortFault, longest), w.timeLeft()-time.Millisecond))
}

// newFault returns a random fault. Those of the present primary and leader are frequent.
func (w *world) newFault() fault {
	duration := w.faultDuration()
	m := w.members[w.random.IntN(len(w.members))]
	if w.chance(0.4) {
		m = w.group.latest
	}
	c := w.controls[w.random.IntN(len(w.controls))]
	if w.chance(0.5) && w.election.leader != nil {
		c = w.election.leader
	}
	p := w.proxies[w.random.IntN(len(w.proxies))]
	if w.chance(0.66) {
		return w.newMemberFault(m, p, duration)
	}
	switch roll := w.random.Float64(); {
	case roll < 0.18:
		return cutLinks{links: w.linksToControl(c.party()), duration: duration}
	case roll < 0.32:
		return cutLinks{links: []link{newLink(c.party(), serviceParty)}, duration: duration}
	case roll < 0.53:
		return freezeControl{control: c, duration: duration}
	case roll < 0.74:
		return crashControl{control: c, duration: duration}
	case roll < 0.86:
		return restartProxies{proxies: []*proxy{p}}
	}
	return restartProxies{proxies: w.proxies}
}

// newMemberFault returns a random fault of a member, or of a proxy's links.
func (w *world) newMemberFault(m *member, p *proxy, duration time.Duration) fault {
	switch roll := w.random.Float64(); {
	case roll < 0.30:
		return crashMember{member: m, duration: duration}
	case roll < 0.52:
		return cutLinks{links: w.linksToControl(m.party()), duration: duration}
	case roll < 0.70:
		return cutLinks{links: w.linksToMembers(m.party()), duration: duration}
	case roll < 0.82:
		return cutLinks{links: append(w.linksToMembers(m.party()), w.linksToControl(m.party())...), duration: duration}
	case roll < 0.94:
		return cutLinks{links: w.linksToControl(p.party()), duration: duration}
	}
	return cutLinks{links: w.linksToMembers(p.party()), duration: duration}
}

// linksToControl returns the links of a party to the processes of control.
func (w *world) linksToControl(from party) []link {
	var links []link
	for _, c := range w.controls {
		if c.party() != from {
			links = append(links, newLink(from, c.party()))
		}
	}
	return links
}

// linksToMembers returns the links of a party to the members.
func (w *world) linksToMembers(from party) []link {
	var links []link
	for _, m := range w.members {
		if m.party() != from {
			links = append(links, newLink(from, m.party()))
		}
	}
	return links
}

// inject begins a fault and schedules its end.
func (w *world) inject(f fault) {
	switch f := f.(type) {
	case cutLinks:
		w.cut(f)
	case crashMember:
		w.trace("%s crashes for %s", f.member.name, f.duration)
		w.crash(f.member)
		w.schedule(f.duration, func() { w.restart(f.member) })
	case crashControl:
		w.trace("%s crashes for %s", f.control.name, f.duration)
		f.control.running, f.control.leading = false, false
		f.control.disturb(w.now.Add(f.duration))
		w.schedule(f.duration, func() { w.restartControl(f.control) })
	case freezeControl:
		w.freeze(f)
	case restartProxies:
		for _, p := range f.proxies {
			w.trace("%s restarts", p.name)
			w.restartProxy(p)
		}
	}
}

func (w *world) cut(f cutLinks) {
	w.trace("cut %v for %s", f.links, f.duration)
	for _, l := range f.links {
		w.cuts[l]++
		w.disturbEnds(l, w.now.Add(f.duration))
	}
	w.schedule(f.duration, func() {
		w.trace("cut %v ends", f.links)
		for _, l := range f.links {
			w.cuts[l]--
		}
	})
}

// disturbEnds records that processes of control are disturbed until a time, if a link connects
// them with each other or with the service.
func (w *world) disturbEnds(l link, until time.Time) {
	a, b := w.controlOf(l.a), w.controlOf(l.b)
	if a != nil && (b != nil || l.b == serviceParty) {
		a.disturb(until)
	}
	if b != nil && (a != nil || l.a == serviceParty) {
		b.disturb(until)
	}
}

// controlOf returns the process of control that a party is, or nil.
func (w *world) controlOf(p party) *control {
	i := slices.IndexFunc(w.controls, func(c *control) bool { return c.party() == p })
	if i < 0 {
		return nil
	}
	return w.controls[i]
}

func (w *world) freeze(f freezeControl) {
	until := w.now.Add(f.duration)
	f.control.disturb(until)
	if until.After(f.control.frozenUntil) {
		w.trace("%s freezes for %s", f.control.name, f.duration)
		f.control.frozenUntil = until
	}
}

// freezeBeforeRequest may freeze a process that has just checked that it may send a request.
func (w *world) freezeBeforeRequest(c *control) {
	if w.timeLeft() > 0 && w.chance(0.15) {
		w.freeze(freezeControl{control: c, duration: w.faultDuration()})
	}
}

// crashesAfterRelease may end a process that has just sent a report which ends its part as the
// requester.
func (w *world) crashesAfterRelease(c *control) bool {
	crashes := w.timeLeft() > 0 && w.chance(0.3)
	if crashes {
		w.inject(crashControl{control: c, duration: w.faultDuration()})
	}
	return crashes
}

// reactToRequest may disturb those that a request concerns.
func (w *world) reactToRequest(r *call) {
	if w.timeLeft() <= 0 {
		return
	}
	candidate := party(r.task.promotion.Member)
	switch roll := w.random.Float64(); {
	case roll < 0.3:
		w.inject(cutLinks{links: w.linksToControl(candidate), duration: w.faultDuration()})
	case roll < 0.4:
		w.inject(freezeControl{control: r.sender, duration: w.faultDuration()})
	case roll < 0.5:
		w.inject(crashControl{control: r.sender, duration: w.faultDuration()})
	case roll < 0.6:
		w.inject(cutLinks{links: w.linksToMembers(candidate), duration: w.faultDuration()})
	}
}
