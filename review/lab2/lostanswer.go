package main

import "time"

// lostAnswer: a member answers a write with RETRY, as it is busy. The proxy sends the write again. The
// member runs it, but that answer is lost, and the RETRY comes a second time, late.
func lostAnswer(f *fleet, trouble bool) outcome {
	g := f.newGroup("fit1")
	for i, id := range []string{"i-aaaa", "i-bbbb", "i-cccc"} {
		if _, err := f.startMember(g, id, i+1, i == 0); err != nil {
			return unrun
		}
	}
	if f.startAll() != nil {
		return unrun
	}
	if !f.publish(config(1, []map[string]any{route("charts", "primary", "fit1")}, "fit1"), 20*time.Second) {
		return unrun
	}
	if _, ok := f.try(f.proxies[1], "u1", "charts", "WRITE a1 first", 20*time.Second); !ok {
		return unrun
	}
	g.mutex.Lock()
	g.busy, g.stutter = true, trouble
	g.mutex.Unlock()
	result := held
	for _, name := range []string{"u2", "u3", "u4"} {
		c, err := f.connect(f.proxies[0], name, "charts")
		if err != nil {
			return unrun
		}
		a := c.query("WRITE a1 " + name)
		c.close()
		g.mutex.Lock()
		runs := g.runs[a.id]
		g.mutex.Unlock()
		f.rec.add("write %s took effect %d times; its requester received: %s", a.id, runs, a)
		switch {
		case runs > 1:
			f.rec.add("TWICE: the write %s took effect %d times for one requester attempt", a.id, runs)
			result = broken
		case runs == 1 && len(a.code) > 4 && a.code[:5] == "RETRY":
			f.rec.add("REFUSED: the write %s is committed, and its requester was promised that nothing is kept", a.id)
			result = broken
		}
	}
	return result
}
