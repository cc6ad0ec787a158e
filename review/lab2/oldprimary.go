package main

import (
	"syscall"
	"time"
)

// cutLimit is how long the first primary is cut off at most.
const cutLimit = 7 * time.Second

// oldPrimary: the primary is cut off and replaced. A commit is then on the new primary and on a
// replica that leaves as planned. The new primary crashes, and machines of the system are stopped and
// started in turn. When the old primary can be reached again, it must not be promoted, as it lacks the
// commit.
func oldPrimary(f *fleet, trouble bool) outcome {
	g := f.newGroup("fit1")
	old, err := f.startMember(g, "i-aaaa", 1, true)
	if err != nil {
		return unrun
	}
	next, err := f.startMember(g, "i-bbbb", 2, false)
	if err != nil {
		return unrun
	}
	leaving, err := f.startMember(g, "i-cccc", 3, false)
	if err != nil || f.startAll() != nil {
		return unrun
	}
	if !f.publish(config(1, []map[string]any{route("charts", "primary", "fit1")}, "fit1"), 20*time.Second) {
		return unrun
	}
	first, ok := f.try(f.proxies[1], "u1", "charts", "WRITE a1 first", 20*time.Second)
	if !ok {
		return unrun
	}
	g.ack(first.id)
	f.drain(leaving)
	drainedAt := time.Now()
	time.Sleep(drainPeriod - 3500*time.Millisecond)

	cutAt := time.Now()
	if trouble {
		f.rec.add("trouble: the primary %s is cut off", old.id)
		old.setCut(true)
		for begin := time.Now(); time.Since(begin) < cutLimit; time.Sleep(20 * time.Millisecond) {
			g.mutex.Lock()
			replaced := g.latest == next
			g.mutex.Unlock()
			if replaced {
				break
			}
		}
	}
	second, ok := f.try(f.proxies[0], "u2", "charts", "WRITE a1 second", 3*time.Second)
	if !ok {
		return unrun
	}
	g.ack(second.id)
	f.rec.add("commit %s is acknowledged to the requester", second.id)
	crashed := next
	if trouble {
		f.rec.add("trouble: the primary %s crashes for %s", crashed.id, crashTime)
		crashed.stop()
	}
	crashedAt := time.Now()
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
	time.Sleep(time.Until(crashedAt.Add(1500 * time.Millisecond)))
	time.Sleep(time.Until(drainedAt.Add(drainPeriod)))
	f.leave(leaving)
	if trouble {
		time.Sleep(600 * time.Millisecond)
		f.rec.add("the primary %s can be reached again, after %.1f s", old.id, time.Since(cutAt).Seconds())
		old.setCut(false)
		time.Sleep(time.Until(crashedAt.Add(crashTime)))
		f.rec.add("the member %s is back with its log", crashed.id)
		if crashed.start() != nil {
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
