package main

import (
	"strings"
	"syscall"
	"time"
)

const (
	// exportRows and exportRowBytes are the size of the answer that is not delivered.
	exportRows, exportRowBytes = 12000, 1000
	// afterStop is when the requests are sent, after SIGTERM.
	afterStop = 500 * time.Millisecond
)

// unanswered: requesters read an item of 12 MB over open sessions of a proxy that has received SIGTERM
// half a second before. Each request reaches a member, which answers it in full at once.
func unanswered(f *fleet, trouble bool) outcome {
	g := f.newGroup("fit1")
	g.large = map[string]string{"export": rowsOf(exportRows, exportRowBytes)}
	for i, id := range []string{"i-aaaa", "i-bbbb", "i-cccc"} {
		if _, err := f.startMember(g, id, i+1, i == 0); err != nil {
			return unrun
		}
	}
	if f.startAll() != nil {
		return unrun
	}
	lookup := route("lookups", "bounded_staleness", "fit1")
	lookup["timeout_ms"] = 3000
	if !f.publish(config(1, []map[string]any{route("charts", "primary", "fit1"), lookup}, "fit1"), 20*time.Second) {
		return unrun
	}
	if _, ok := f.try(f.proxies[0], "u1", "charts", "WRITE a1 first", 20*time.Second); !ok {
		return unrun
	}
	// Nothing is planned until the configuration has been in force for its time.
	time.Sleep(6 * time.Second)
	var sessions []*client
	for _, name := range []string{"u2", "u3", "u4"} {
		c, err := f.connect(f.proxies[0], name, "lookups")
		if err != nil || !c.query("READ a1").ok() {
			return unrun
		}
		sessions = append(sessions, c)
	}
	stoppedAt := time.Now()
	if trouble {
		f.proxies[0].signal(syscall.SIGTERM)
	}
	time.Sleep(afterStop)
	cut, answered := 0, 0
	for i, c := range sessions {
		text := "READ export"
		if i == 0 {
			text = "READ a1"
		}
		switch a := c.query(text); {
		case a.err != nil:
			cut++
			f.rec.add("the connection of %s ended without an answer, %d ms after SIGTERM", c.name,
				time.Since(stoppedAt).Milliseconds())
		default:
			answered++
		}
	}
	f.rec.add("%d requests answered, %d cut off", answered, cut)
	switch {
	case answered == 0:
		return unrun
	case trouble && cut > 0:
		return broken
	}
	// Without planned work the rule does not count a request that is cut off.
	return held
}

// rowsOf returns rows of a number of bytes, as they go on the wire.
func rowsOf(count, bytes int) string {
	return strings.Repeat("ROW "+strings.Repeat("x", bytes)+"\r\n", count)
}
