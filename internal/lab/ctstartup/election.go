package ctstartup

import "time"

// elect makes a random control process the leader.
func (w *world) elect() {
	w.epoch++
	c := w.controls[w.random.IntN(len(w.controls))]
	w.leader = c
	c.joined = make(map[*proxy]bool)
	c.view = viewState{epoch: w.epoch}
	c.lastNotified, c.notifyPending, c.leadingSince = w.now, false, w.now
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
	// whole reports whether it has the whole view, and large whether it is compressed.
	whole, large bool
}

// largeDeltaProxies is as in ctview.Delta.
const largeDeltaProxies = 50

// delta returns the change from one view to another. It is compressed if it is large.
func (z sizes) delta(from, to viewState) delta {
	if from == to {
		return delta{}
	}
	count, rest, packedRest := to.proxies-from.proxies, z.small, z.small
	if from.epoch != to.epoch {
		count, rest, packedRest = to.proxies, z.rest, z.packedRest
	}
	// The whole configuration has enough routes for a large delta.
	if from.epoch == 0 {
		return delta{size: z.packedConfig + packedRest + count*z.packedProxy, whole: true, large: true}
	}
	whole := from.epoch != to.epoch
	if count > largeDeltaProxies {
		return delta{size: packedRest + count*z.packedProxy, whole: whole, large: true}
	}
	return delta{size: rest + count*z.proxy, whole: whole}
}
