package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is the system under test: control processes and proxies, with the stand-ins around it.
type fleet struct {
	rec      *record
	subnet   int
	folder   string
	program  string
	settings string
	controls []*process
	proxies  []*process
	lock     net.Listener
	client   http.Client

	mutex  sync.Mutex
	groups map[string]*group
}

// process is one process of the system.
type process struct {
	fleet   *fleet
	name    string
	role    string
	ip      string
	command *exec.Cmd
	ended   chan bool
	log     string
	starts  int
}

const (
	peerPort    = 7440
	frontPort   = 8784
	readyPort   = 8785
	controlPort = 8786
	memberPort  = 8787
	cloudPort   = 8788
	// proxyMemoryMB is the memory of a proxy's machine in the site's table of machines.
	proxyMemoryMB = 206
)

var zones = []string{"taipei-a", "taichung-a", "kaohsiung-a"}

func newFleet(rec *record, program string, controls, proxies int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, folder: folder, program: program, groups: make(map[string]*group)}
	f.client.Timeout = time.Second
	for n := 20; n < 250 && f.lock == nil; n++ {
		f.subnet = n
		f.lock, _ = net.Listen("tcp4", f.address(0, 1, 7439))
	}
	for i := range controls {
		f.controls = append(f.controls, &process{
			fleet: f, name: fmt.Sprintf("core-%s-%d", zones[i%3], i+1), role: "control", ip: f.ip(1, i+1),
		})
	}
	for i := range proxies {
		f.proxies = append(f.proxies, &process{
			fleet: f, name: fmt.Sprintf("edge-%s-%d", zones[i%3], i+1), role: "proxy", ip: f.ip(2, i+1),
		})
	}
	return f, f.startCloud()
}

func (f *fleet) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", f.subnet, kind, n) }

func (f *fleet) address(kind, n, port int) string { return fmt.Sprintf("%s:%d", f.ip(kind, n), port) }

// startCloud starts the service of the platform that promotes members.
func (f *fleet) startCloud() error {
	listener, err := net.Listen("tcp4", f.address(4, 1, cloudPort))
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotions", func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Service, ID string }
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(400)
			return
		}
		f.mutex.Lock()
		g := f.groups[body.Service]
		f.mutex.Unlock()
		if g == nil {
			w.WriteHeader(400)
			return
		}
		w.WriteHeader(g.promote(body.ID, r.Header.Get(names.PromotionHolderHeader), r.Header.Get(names.PromotionTokenHeader)))
	})
	go func() { _ = http.Serve(listener, mux) }()
	return nil
}

// newGroup adds a service.
func (f *fleet) newGroup(service string) *group {
	g := newGroup(service, f.rec)
	f.mutex.Lock()
	f.groups[service] = g
	f.mutex.Unlock()
	return g
}

// startMember adds a member to a group and starts it and its reports.
func (f *fleet) startMember(g *group, id string, n int, primary bool) (*member, error) {
	m, err := g.add(id, f.address(3, n, memberPort), zones[(n-1)%3], primary)
	if err == nil {
		go f.reportMember(m)
	}
	return m, err
}

// reportMember sends the member's status reports.
func (f *fleet) reportMember(m *member) {
	next := 0
	for {
		select {
		case <-m.beat:
		case <-time.After(beatInterval):
		}
		for range 3 * len(f.controls) {
			if f.sendReport(m, f.controls[next%len(f.controls)]) {
				break
			}
			next++
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// sendReport sends one status report and reports whether it was acknowledged. A member that does
// not run sends none.
func (f *fleet) sendReport(m *member, control *process) bool {
	g := m.group
	g.mutex.Lock()
	if !m.running || m.cut {
		g.mutex.Unlock()
		return true
	}
	m.sequence++
	role := "replica"
	if m.primary {
		role = "primary"
	}
	body, _ := json.Marshal(map[string]any{
		"service": g.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 5, "state": m.state,
		"cold_remaining_ms": 0, "db_role": role, "sequence": m.sequence, "born": m.born,
	})
	g.mutex.Unlock()
	status, _ := f.call(http.MethodPut, control, names.MembersPath+m.id, body)
	return status == 200
}

// drain makes a member report that it is draining, until that is acknowledged.
func (f *fleet) drain(m *member) {
	m.group.mutex.Lock()
	m.state = "draining"
	m.group.mutex.Unlock()
	for i := 0; ; i++ {
		if f.sendReport(m, f.controls[i%len(f.controls)]) {
			f.rec.add("member %s: draining, acknowledged", m.id)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// leave deregisters a draining member and ends it.
func (f *fleet) leave(m *member) {
	for i := range 20 {
		if status, _ := f.call(http.MethodDelete, f.controls[i%len(f.controls)], names.MembersPath+m.id, nil); status == 200 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	m.stop()
	m.group.mutex.Lock()
	m.log = nil
	m.group.mutex.Unlock()
	f.rec.add("member %s: has left, and its log is gone", m.id)
}

// call sends a request to a control process.
func (f *fleet) call(method string, control *process, path string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", control.ip, controlPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := f.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// publish sends a configuration until it is acknowledged.
func (f *fleet) publish(config any, limit time.Duration) bool {
	body, _ := json.Marshal(config)
	for begin, i := time.Now(), 0; time.Since(begin) < limit; i++ {
		status, _ := f.call(http.MethodPut, f.controls[i%len(f.controls)], names.ConfigPath, body)
		if status == 200 {
			f.rec.add("operator: configuration acknowledged")
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func route(host, kind, service string) map[string]any {
	return map[string]any{
		"name": "r-" + host, "host": host, "path_prefix": "/", "type": kind, "timeout_ms": 1000,
		"target_latency_ms": 800, "priority": 1, "service": service, "max_attempts": 2, "max_staleness_ms": 2500,
	}
}

func config(version int, routes []map[string]any, services ...string) map[string]any {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{
			"name": s, "health_check_path": "/health", "max_connections": 76, "protocol": "h1", "tls": false, "sync_replicas": 1,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
			"tx_idle_ms": 3000,
		},
	}
}

// start starts a process with its settings.
func (p *process) start() error {
	f := p.fleet
	var seeds []string
	for i := range min(3, len(f.controls)) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", f.controls[i].ip, controlPort))
	}
	zone := strings.TrimSuffix(p.name[strings.Index(p.name, "-")+1:], p.name[strings.LastIndex(p.name, "-"):])
	lines := []string{
		"node_name=" + p.name, "role=" + p.role, "ip=" + p.ip, "zone=" + zone, "region=" + zone,
		fmt.Sprintf("internal_port_range=%d,%d", peerPort, peerPort+15), "seeds=" + strings.Join(seeds, ","),
		"bootstrap=true", "fault_tolerance.machines=1", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"limits.cpu_share=0.48", "limits.cores=1", "limits.memory_mb=280", "limits.fd_limit=4096",
		"discovery=self_registration", "heartbeat_interval_ms=1200", "contracts=base,drain,config,cost,recover,sql",
		"bounds.seed_lag_s=3", "bounds.address_reuse_s=2", "bounds.stable_window_ms=5000", "bounds.ack_ms=6000",
		"bounds.catch_up_s=4", "bounds.drain_period_ms=7000", "bounds.grace_period_s=6", "bounds.loss_slack_ms=200",
		"bounds.config_apply_ms=4000", "bounds.rollback_slack_ms=250", "bounds.outer_ms=15000", "bounds.recovery_s=12",
		"bounds.fencing_required=false", "bounds.thaw_slack_ms=300", "config_mode=highest",
		"cloud_api.address=" + f.address(4, 1, cloudPort), "cloud_api.rate_per_s=50.0", "cloud_api.duties=failover",
		"cloud_api.duty_per_s=50.0",
	}
	if p.starts > 0 {
		lines[7] = "bootstrap=false"
	}
	p.starts++
	if p.role == "proxy" {
		lines = append(lines, fmt.Sprintf("limits.memory_mb=%d", proxyMemoryMB), "limits.fd_limit=2940", "limits.cpu_share=0.272")
	}
	if p.role == "control" {
		lines = append(lines, "data_dir="+filepath.Join(f.folder, p.name),
			fmt.Sprintf("bind_addresses.control=%s:%d", p.ip, controlPort))
	} else {
		lines = append(lines, fmt.Sprintf("bind_addresses.front=%s:%d", p.ip, frontPort),
			fmt.Sprintf("bind_addresses.ready=%s:%d", p.ip, readyPort))
	}
	file := filepath.Join(f.folder, p.name+".conf")
	if err := os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	p.log = filepath.Join(f.folder, p.name+".log")
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.command = exec.Command(f.program, "platform", p.role)
	p.command.Env = append(os.Environ(), "CHERVILTRESTLE_BOOT="+file)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	ended := make(chan bool)
	p.ended = ended
	command := p.command
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	f.rec.add("process %s (%s) starts", p.name, p.role)
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.fleet.rec.add("process %s: %s", p.name, s)
	_ = p.command.Process.Signal(s)
}

// alive reports whether the process runs.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// leads reports whether the log of a control process says that it leads now.
func (p *process) leads() bool {
	data, _ := os.ReadFile(p.log)
	text := string(data)
	return strings.LastIndex(text, `"lead_control"`) > max(strings.LastIndex(text, `"follow_control"`), strings.LastIndex(text, `"journal_open"`))
}

// leader returns the control process that leads, or nil.
func (f *fleet) leader() *process {
	for _, c := range f.controls {
		if c.alive() && c.leads() {
			return c
		}
	}
	return nil
}

// startAll starts all processes.
func (f *fleet) startAll() error {
	for _, p := range append(append([]*process(nil), f.controls...), f.proxies...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes their files.
func (f *fleet) close() {
	for _, p := range append(append([]*process(nil), f.controls...), f.proxies...) {
		if p.command != nil && p.command.Process != nil {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			<-p.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs in", f.folder)
	}
}
