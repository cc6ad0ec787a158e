package main

import (
	"syscall"
	"time"
)

const (
	drainPeriod = 7 * time.Second
	deafTime    = 7 * time.Second
	crashTime   = 7 * time.Second
	// restartPause is the time between two steps of the planned work.
	restartPause = 1300 * time.Millisecond
)

// lostLog: a commit is on the primary and on one replica, as the other replica receives nothing
// for a while. The replica that has it leaves as planned, and the machines of the system are
// stopped and started in turn. Then the primary crashes. The other replica must not be promoted.
func lostLog(f *fleet, trouble bool) outcome {
	g := f.newGroup("fit1")
	primary, err := f.startMember(g, "i-aaaa", 1, true)
	if err != nil {
		return unrun
	}
	leaving, err := f.startMember(g, "i-bbbb", 2, false)
	if err != nil {
		return unrun
	}
	lagging, err := f.startMember(g, "i-cccc", 3, false)
	if err != nil || f.startAll() != nil {
		return unrun
	}
	routes := []map[string]any{route("charts", "primary", "fit1")}
	if !f.publish(config(1, routes, "fit1"), 20*time.Second) {
		return unrun
	}
	first, ok := f.try(f.proxies[1], "u1", "charts", "WRITE a1 first", 20*time.Second)
	if !ok {
		return unrun
	}
	g.ack(first.id)
	f.drain(leaving)
	time.Sleep(drainPeriod)

	deafAt := time.Now()
	if trouble {
		f.rec.add("trouble: replica %s receives nothing for %s", lagging.id, deafTime)
		g.mutex.Lock()
		lagging.deaf = true
		g.mutex.Unlock()
		time.AfterFunc(deafTime, func() {
			g.mutex.Lock()
			lagging.deaf = false
			g.mutex.Unlock()
			f.rec.add("trouble: replica %s receives again", lagging.id)
		})
	}
	second, ok := f.try(f.proxies[0], "u2", "charts", "WRITE a1 second", 3*time.Second)
	if !ok {
		return unrun
	}
	g.ack(second.id)
	f.rec.add("commit %s is acknowledged to the requester", second.id)
	f.leave(leaving)
	time.Sleep(restartPause)

	leader := f.leader()
	if leader == nil {
		return unrun
	}
	for _, p := range []*process{leader, f.proxies[0]} {
		p.signal(syscall.SIGTERM)
		go func() {
			<-p.ended
			_ = p.start()
		}()
	}
	time.Sleep(time.Until(deafAt.Add(5500 * time.Millisecond)))
	if trouble {
		f.rec.add("trouble: the primary %s crashes for %s", primary.id, crashTime)
		primary.stop()
		time.Sleep(crashTime)
		f.rec.add("the member %s is back with its log", primary.id)
		if primary.start() != nil {
			return unrun
		}
	}
	last, ok := f.try(f.proxies[1], "u3", "charts", "READ a1", 15*time.Second)
	f.rec.add("the last read of a1, after the acknowledged write of second: %s", last)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch {
	case len(g.lost) > 0:
		return broken
	case !ok:
		return unrun
	case last.rows[0] != "second":
		return broken
	}
	return held
}
