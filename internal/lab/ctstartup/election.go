package ctstartup

import "time"

// elect makes a random control process the leader.
func (w *world) elect() {
	w.epoch++
	c := w.controls[w.random.IntN(len(w.controls))]
	w.leader = c
	c.joined = make(map[*proxy]bool)
	c.view = viewState{epoch: w.epoch}
	c.lastNotified, c.notifyPending = w.now, false
	for _, other := range w.controls {
		other.heardAt = w.now
	}
	w.beat(c, w.epoch)
	w.checkLeader(c, w.epoch)
}

// beat sends the leader's heartbeats while it leads.
func (w *world) beat(leader *control, epoch int) {
	if w.epoch != epoch || w.leader != leader {
		return
	}
	for _, other := range w.controls {
		if other == leader {
			continue
		}
		leader.send(other, w.sizes.small, func() {
			other.compute(smallCost, func() { other.heardAt = max(other.heardAt, w.now) })
		})
	}
	w.after(heartbeatInterval, func() { w.beat(leader, epoch) })
}

// checkLeader ends the leader's time once most others have not handled its heartbeats for
// an election timeout.
func (w *world) checkLeader(leader *control, epoch int) {
	const checkInterval = 20 * time.Millisecond
	silent := 0
	for _, other := range w.controls {
		if other != leader && w.now-other.heardAt > electionTimeout {
			silent++
		}
	}
	if silent > controlCount/2 {
		w.leader = nil
		w.after(electionTime, w.elect)
		return
	}
	w.after(checkInterval, func() { w.checkLeader(leader, epoch) })
}

// delta is a change of a view as it is sent.
type delta struct {
	size int
	// whole reports whether it has the whole view, and large whether it is compressed and left
	// out of the replies to reports.
	whole, large bool
}

// delta returns the change from one view to another. As in ctview.Delta, the number of
// proxies does not make it large.
func (z sizes) delta(from, to viewState) delta {
	switch {
	case from == to:
		return delta{}
	case from.epoch == 0:
		return delta{size: z.packedConfig + z.packedRest + to.proxies*z.packedProxy, whole: true, large: true}
	case from.epoch != to.epoch:
		return delta{size: z.rest + to.proxies*z.proxy, whole: true}
	}
	return delta{size: z.small + (to.proxies-from.proxies)*z.proxy}
}
