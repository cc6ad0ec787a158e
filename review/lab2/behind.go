package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"syscall"
	"time"
)

const (
	// darkTime is how long a machine is without power, and freezeTime how long a process stands still.
	darkTime   = 3500 * time.Millisecond
	freezeTime = 1200 * time.Millisecond
	// replaceDelay is how long after a machine is gone an empty one comes.
	replaceDelay = 2 * time.Second
	// recoveryTime is the pages' recovery_s, which is longer than their stable_window_ms of 5 s.
	recoveryTime = 12 * time.Second
	// ackLimit is how long an order may take: more than the pages' ack_ms of 6 s.
	ackLimit = 15 * time.Second
	// idleRoutes is how many routes the configuration has beside the one in use.
	idleRoutes = 350
	// earlierChanges is how often the configuration changes at first, and stormChanges how often while a process is
	// stopped, with stormGap in between.
	earlierChanges = 44
	stormChanges   = 12
	stormGap       = 60 * time.Millisecond
)

// behind: a control process is stopped and started in turn while the configuration changes. Later its machine loses
// power, and the leader stands still meanwhile. Once all are back for recoveryTime, another control process is replaced by
// an empty one. Two of three run then, so an order that is sent after another recoveryTime must be confirmed.
func behind(f *fleet, trouble bool) outcome {
	g := f.newGroup("fit1")
	for i, id := range []string{"i-aaaa", "i-bbbb", "i-cccc"} {
		if _, err := f.startMember(g, id, i+1, i == 0); err != nil {
			return unrun
		}
	}
	if f.startAll() != nil {
		return unrun
	}
	version := 0
	routes := []map[string]any{route("charts", "primary", "fit1")}
	random := rand.New(rand.NewPCG(1, 2))
	for range idleRoutes {
		routes = append(routes, route(fmt.Sprintf("%x", random.Uint64()), "primary", "fit1"))
	}
	change := func(limit time.Duration) bool {
		version++
		for _, r := range routes {
			r["timeout_ms"] = 1000 + version
		}
		return f.publish(config(version, routes, "fit1"), limit)
	}
	if !change(20 * time.Second) {
		return unrun
	}
	for range earlierChanges {
		if !change(5 * time.Second) {
			return unrun
		}
		time.Sleep(stormGap)
	}
	time.Sleep(time.Second)
	leader := f.leader()
	if leader == nil {
		return unrun
	}
	var others []*process
	for _, p := range f.controls {
		if p != leader {
			others = append(others, p)
		}
	}
	late, third := others[0], others[1]
	f.rec.add("%s leads, %s and %s follow", leader.name, late.name, third.name)

	f.restart(late, func() {
		for range stormChanges {
			change(3 * time.Second)
			time.Sleep(stormGap)
		}
	})
	time.Sleep(3 * time.Second)

	cutAt := time.Now()
	var dark *darkness
	if trouble {
		f.rec.add("trouble: %s loses power for %s", late.name, darkTime)
		late.signal(syscall.SIGKILL)
		<-late.ended
		var err error
		if dark, err = darken(fmt.Sprintf("%s:%d", late.ip, peerPort)); err != nil {
			f.rec.add("%v", err)
			return unrun
		}
	}
	if !change(5 * time.Second) {
		return unrun
	}
	if trouble {
		leader.signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		leader.signal(syscall.SIGCONT)
	}
	time.Sleep(time.Until(cutAt.Add(darkTime)))
	if trouble {
		dark.end()
		if late.start() != nil {
			return unrun
		}
	}
	time.Sleep(recoveryTime + time.Second)
	now := f.leader()
	if now == nil || now == late {
		return unrun
	}
	f.rec.add("%s leads", now.name)
	f.recordVersions()

	gone := third
	if now == third {
		gone = leader
	}
	if trouble {
		f.rec.add("trouble: %s is gone for good, and an empty machine comes %s later at another address", gone.name, replaceDelay)
		gone.signal(syscall.SIGKILL)
		time.Sleep(replaceDelay)
		empty := &process{fleet: f, name: "core-" + zones[0] + "-4", role: "control", ip: f.ip(1, 4), starts: 1}
		f.controls = append(f.controls, empty)
		if empty.start() != nil {
			return unrun
		}
	}
	time.Sleep(recoveryTime + time.Second)
	begin := time.Now()
	f.rec.add("operator: a valid configuration is sent to all control processes in turn")
	confirmed := change(ackLimit)
	f.rec.add("operator: confirmed %v after %.1f s", confirmed, time.Since(begin).Seconds())
	f.recordVersions()
	for _, p := range append([]*process{now, late}, f.controls[3:]...) {
		if !p.alive() {
			return unrun
		}
	}
	if !confirmed {
		return broken
	}
	return held
}

// restart stops a process as planned, does something, and starts the process again.
func (f *fleet) restart(p *process, meanwhile func()) {
	p.signal(syscall.SIGTERM)
	<-p.ended
	meanwhile()
	if err := p.start(); err != nil {
		f.rec.add("%s doesn't start: %v", p.name, err)
	}
}

// darkness stands at the address of a machine without power: connections to it hang.
type darkness struct {
	socket int
	filler []net.Conn
}

// darken listens at an address without accepting connections. Once the queue of new connections is full, the kernel
// drops their first packet.
func darken(address string) (*darkness, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	d := &darkness{socket: socket}
	_ = syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Port: int(parsed.Port()), Addr: parsed.Addr().As4()}); err != nil {
		d.end()
		return nil, err
	}
	if err := syscall.Listen(socket, 0); err != nil {
		d.end()
		return nil, err
	}
	for {
		conn, err := net.DialTimeout("tcp4", address, 200*time.Millisecond)
		if err != nil {
			return d, nil
		}
		d.filler = append(d.filler, conn)
	}
}

// end frees the address.
func (d *darkness) end() {
	for _, c := range d.filler {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	_ = syscall.Close(d.socket)
}

// recordVersions reads the configuration at all control processes that run.
func (f *fleet) recordVersions() {
	for _, p := range f.controls {
		if p.alive() {
			status, body := f.call("GET", p, names.ConfigPath, nil)
			var config struct{ Version int }
			_ = json.Unmarshal(body, &config)
			f.rec.add("operator: %s answers a read of the configuration with %d, version %d", p.name, status, config.Version)
		}
	}
}
