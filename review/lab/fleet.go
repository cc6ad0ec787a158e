package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on all machines.
const (
	peerPort    = 7440
	frontPort   = 8784
	readyPort   = 8785
	controlPort = 8782
	memberPort  = 8080
	cloudPort   = 8783
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// Process is one of the project's processes.
type Process struct {
	Name, Role, IP, Zone string
	fleet                *Fleet
	// peerPort is the first port of the process's internal range.
	peerPort int
	mutex    sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
}

// Fleet is the project's processes with the stand-ins around them.
type Fleet struct {
	rec      *Recorder
	folder   string
	network  int
	Controls []*Process
	Proxies  []*Process
	Group    *Group
	stop     chan struct{}
	version  int
	Relays   *Relays
	lock     net.Listener
	closing  sync.Once
}

// started is the fleet of this run, so that it is closed however the run ends.
var started *Fleet

// lockPort serves nothing. A fleet listens on it to reserve its loopback addresses.
const lockPort = 7439

// reserveNetwork chooses the second byte of all addresses of the fleet.
func (f *Fleet) reserveNetwork() error {
	for range 100 {
		n := 2 + rand.IntN(250)
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.%d.1.1:%d", n, lockPort))
		if err == nil {
			f.network, f.lock = n, listener
			return nil
		}
	}
	return fmt.Errorf("no free loopback addresses")
}

// StartFleet starts controls, proxies and a group of three members.
func StartFleet(rec *Recorder, controls, proxies, sync int) (*Fleet, error) {
	return StartFleetWith(rec, controls, proxies, sync, func(*Fleet) error { return nil })
}

// StartFleetWith is StartFleet, and calls prepare before it starts the processes.
func StartFleetWith(rec *Recorder, controls, proxies, sync int, prepare func(*Fleet) error) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{rec: rec, folder: folder, stop: make(chan struct{})}
	started = f
	if err := f.reserveNetwork(); err != nil {
		return f, err
	}
	var addresses []string
	for i := range 3 {
		addresses = append(addresses, fmt.Sprintf("127.%d.3.%d:%d", f.network, i+1, memberPort))
	}
	f.Group = NewGroup(rec, "huvo11a", sync, addresses, zones)
	go f.Group.Run(f.stop)
	for _, m := range f.Group.Members {
		if err := m.Serve(f.stop); err != nil {
			return f, err
		}
	}
	if err := f.servePlatform(); err != nil {
		return f, err
	}
	for i := range controls {
		f.Controls = append(f.Controls, f.newProcess("control", 1, i))
	}
	for i := range proxies {
		f.Proxies = append(f.Proxies, f.newProcess("proxy", 2, i))
	}
	if err := prepare(f); err != nil {
		return f, err
	}
	for _, p := range append(append([]*Process(nil), f.Controls...), f.Proxies...) {
		if err := p.Start(true); err != nil {
			return f, err
		}
	}
	for _, m := range f.Group.Members {
		go f.report(m)
	}
	return f, nil
}

func (f *Fleet) newProcess(role string, kind, i int) *Process {
	return &Process{
		Name: fmt.Sprintf("%s-%d", role, i+1), Role: role, Zone: zones[i%len(zones)], fleet: f,
		IP: fmt.Sprintf("127.%d.%d.%d", f.network, kind, i+1), peerPort: peerPort,
	}
}

// Close ends all processes that the fleet started.
func (f *Fleet) Close() {
	f.closing.Do(f.closeOnce)
}

func (f *Fleet) closeOnce() {
	close(f.stop)
	if f.lock != nil {
		defer func() { _ = f.lock.Close() }()
	}
	for _, p := range append(append([]*Process(nil), f.Controls...), f.Proxies...) {
		p.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs in", f.folder)
	}
}

func (p *Process) settings(bootstrap bool) string {
	f := p.fleet
	var seeds []string
	for _, c := range f.Controls {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.IP, controlPort))
	}
	class, serves, addresses := "edge", "edge", fmt.Sprintf("bind_addresses.front=%s:%d\nbind_addresses.ready=%s:%d",
		p.IP, frontPort, p.IP, readyPort)
	memory := 206
	if p.Role == "control" {
		class, serves, memory = "core", "control_plane", 280
		addresses = fmt.Sprintf("bind_addresses.control=%s:%d\ndata_dir=%s", p.IP, controlPort,
			filepath.Join(f.folder, "data", p.Name))
	}
	return strings.Join([]string{
		"node_name=" + p.Name, "role=" + p.Role, "instance_class=" + class, "serves=" + serves, "ip=" + p.IP,
		"zone=" + p.Zone, "region=" + p.Zone, "zones.zone-a=zone-a", "zones.zone-b=zone-b", "zones.zone-c=zone-c",
		addresses, fmt.Sprintf("internal_port_range=%d,%d", p.peerPort, p.peerPort+15), "seeds=" + strings.Join(seeds, ","),
		fmt.Sprintf("bootstrap=%t", bootstrap), fmt.Sprintf("counts_toward_tolerance=%t", p.Role == "control"),
		"limits.cpu_share=1.0", "limits.cores=1", fmt.Sprintf("limits.memory_mb=%d", memory), "limits.fd_limit=2940",
		"limits.bandwidth_mbps=700.0", "limits.disk_mb=128", "discovery=self_registration", "entry_point=vip",
		"heartbeat_interval_ms=1200", "contracts=base,drain,config,cost,recover,sql", "fault_tolerance.machines=1",
		"fault_tolerance.zones=0", "fault_tolerance.regions=0", "bounds.seed_lag_s=3", "bounds.address_reuse_s=2",
		"bounds.stable_window_ms=5000", "bounds.ack_ms=6000", "bounds.catch_up_s=4", "bounds.drain_period_ms=7000",
		"bounds.grace_period_s=6", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=4000",
		"bounds.rollback_slack_ms=250", "bounds.outer_ms=15000", "bounds.recovery_s=12", "bounds.fencing_required=false",
		"bounds.thaw_slack_ms=300", "config_mode=highest", fmt.Sprintf("cloud_api.address=127.%d.4.1:%d", f.network, cloudPort),
		"cloud_api.rate_per_s=50.0", "cloud_api.duties=failover", "cloud_api.duty_per_s=50.0", "",
	}, "\n")
}

// Start starts the process with the command of the deploy file.
func (p *Process) Start(bootstrap bool) error {
	path := filepath.Join(p.fleet.folder, p.Name+".conf")
	if err := os.WriteFile(path, []byte(p.settings(bootstrap)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.fleet.folder, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/cherviltrestle", "platform", p.Role)
	command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CHERVILTRESTLE_BOOT=" + path,
	}
	command.Stdout, command.Stderr = out, out
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mutex.Lock()
	p.command, p.exited = command, exited
	p.mutex.Unlock()
	p.fleet.rec.Log("%s started", p.Name)
	go func() {
		_ = command.Wait()
		_ = out.Close()
		p.fleet.rec.Log("%s ended: %s", p.Name, command.ProcessState)
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return
	}
	select {
	case <-p.exited:
	default:
		p.fleet.rec.Log("%s gets signal: %s", p.Name, s)
		_ = p.command.Process.Signal(s)
	}
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	if p.command == nil {
		return
	}
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Terminate sends SIGTERM, and SIGKILL after the grace period.
func (p *Process) Terminate(grace time.Duration) {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(grace):
		p.Signal(syscall.SIGKILL)
		<-p.exited
	}
}

// servePlatform serves the promotions.
func (f *Fleet) servePlatform() error {
	listener, err := net.Listen("tcp4", fmt.Sprintf("127.%d.4.1:%d", f.network, cloudPort))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotions", func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Service, ID string }
		if json.NewDecoder(r.Body).Decode(&body) != nil || body.Service != f.Group.Service {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.WriteHeader(f.Group.Promote(body.ID, r.Header.Get(names.HolderHeader), r.Header.Get(names.TokenHeader)))
	})
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	go func() { <-f.stop; _ = server.Close() }()
	return nil
}

// call makes an HTTP call and returns the status, 0 without an answer.
func call(method, url string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// report sends a member's status reports until the fleet stops.
func (f *Fleet) report(m *Member) {
	var last string
	at := 0
	next := time.Now()
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		var body []byte
		var state string
		skip := false
		f.Group.Do(func() {
			if skip = m.cutFromControl || !m.running; skip {
				return
			}
			role := "replica"
			if m.primary {
				role = "primary"
			}
			status := "ready"
			if m.leaving {
				status = "draining"
			}
			state = role + " " + status
			if state == last && time.Now().Before(next) {
				skip = true
				return
			}
			m.sequence++
			body, _ = json.Marshal(map[string]any{
				"service": f.Group.Service, "address": m.Address, "zone": m.Zone, "version": "v1", "slots": cap(m.slots),
				"state": status, "cold_remaining_ms": 0, "db_role": role, "sequence": m.sequence, "born": m.Born,
			})
		})
		if skip {
			continue
		}
		control := f.Controls[at%len(f.Controls)]
		code, _ := call("PUT", fmt.Sprintf("http://%s:%d%s%s", control.IP, controlPort, names.MembersPath, m.ID), body)
		if code/100 != 2 {
			at++
			continue
		}
		if state != last {
			f.rec.Log("member %s reported %s to %s: %d", m.ID, state, control.Name, code)
		}
		last, next = state, time.Now().Add(1200*time.Millisecond)
	}
}

// Route is a route of the configuration.
type Route struct {
	Host, Type                      string
	TimeoutMS, TargetMS, MaxStaleMS int
}

// PublishConfig sends a configuration until a control process acknowledges it.
func (f *Fleet) PublishConfig(routes []Route) error {
	f.version += 3
	var list []map[string]any
	for i, r := range routes {
		entry := map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": r.Host, "path_prefix": "/", "type": r.Type, "timeout_ms": r.TimeoutMS,
			"target_latency_ms": r.TargetMS, "priority": 1, "service": f.Group.Service, "max_attempts": 2,
		}
		if r.MaxStaleMS > 0 {
			entry["max_staleness_ms"] = r.MaxStaleMS
		}
		list = append(list, entry)
	}
	body, _ := json.Marshal(map[string]any{
		"version": f.version, "routes": list,
		"services": []map[string]any{{
			"name": f.Group.Service, "health_check_path": "/health", "max_connections": f.maxConnections(), "protocol": "h1", "tls": false,
			"sync_replicas": f.Group.Sync,
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
			"tx_idle_ms": 3000,
		},
	})
	for i := range 100 {
		control := f.Controls[i%len(f.Controls)]
		code, _ := call("PUT", fmt.Sprintf("http://%s:%d%s", control.IP, controlPort, names.ConfigPath), body)
		if code == 200 {
			f.rec.Log("configuration %d acknowledged by %s", f.version, control.Name)
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no control process acknowledged the configuration")
}

// maxConnections returns the connections that each member accepts: 76 as on the site, or what
// the variable CONNECTIONS says, for "explore". With few, proxies forward queries for others.
func (f *Fleet) maxConnections() int {
	if n, err := strconv.Atoi(os.Getenv("CONNECTIONS")); err == nil {
		return n
	}
	return 76
}
