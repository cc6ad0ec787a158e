package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// largeRows and smallRows are how many rows the answer has, with and without the trouble.
	largeRows, smallRows = 1_400_000, 2
	rowBytes             = 100
	// endsPerMachine and machinesWithEnds are the limits of the rule Fault.
	endsPerMachine, machinesWithEnds = 3, 2
)

// memoryMB returns how much memory a process uses.
func (p *process) memoryMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// watchMemory is the platform: it kills a proxy that uses more memory than its machine has, and
// starts it again after a short delay. It returns how often it did so, by proxy.
func (f *fleet) watchMemory(done chan bool) func() map[string]int {
	ends := make(map[string]int)
	var mutex sync.Mutex
	for _, p := range f.proxies {
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(2 * time.Millisecond):
				}
				used := p.memoryMB()
				if used <= proxyMemoryMB {
					continue
				}
				f.rec.add("platform: %s uses %d MB of %d and is killed", p.name, used, proxyMemoryMB)
				mutex.Lock()
				ends[p.name]++
				mutex.Unlock()
				_ = p.command.Process.Signal(syscall.SIGKILL)
				<-p.ended
				time.Sleep(300 * time.Millisecond)
				_ = p.start()
			}
		}()
	}
	return func() map[string]int {
		mutex.Lock()
		defer mutex.Unlock()
		return ends
	}
}

// largeAnswer: a requester reads an item whose answer has many rows, and again after each failure.
func largeAnswer(f *fleet, trouble bool) outcome {
	g := f.newGroup("fit1")
	rows := smallRows
	if trouble {
		rows = largeRows
	}
	g.large = map[string]string{"big": rowsOf(rows, rowBytes)}
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
	routes := []map[string]any{route("charts", "primary", "fit1"), lookup}
	if !f.publish(config(1, routes, "fit1"), 20*time.Second) {
		return unrun
	}
	if _, ok := f.try(f.proxies[0], "u1", "charts", "WRITE a1 first", 20*time.Second); !ok {
		return unrun
	}
	done := make(chan bool)
	defer close(done)
	ends := f.watchMemory(done)
	for i := range 12 {
		proxy := f.proxies[i%len(f.proxies)]
		c, err := f.connect(proxy, "u2", "lookups")
		for begin := time.Now(); err != nil && time.Since(begin) < 5*time.Second; time.Sleep(100 * time.Millisecond) {
			c, err = f.connect(proxy, "u2", "lookups")
		}
		if err != nil {
			return unrun
		}
		c.query("BEGIN READ")
		c.query("READ big")
		c.close()
		time.Sleep(300 * time.Millisecond)
	}
	machines := 0
	for _, n := range ends() {
		if n >= endsPerMachine {
			machines++
		}
	}
	f.rec.add("processes ended by themselves: %v", ends())
	if machines >= machinesWithEnds {
		return broken
	}
	return held
}
