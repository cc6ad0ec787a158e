package ctexperiment

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctkey"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctquic"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctstate"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctstream"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctuplink"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// Settings of the experiment on uplinks.
const (
	membersPerGroup = 3
	// configChanges is how many changes of the configuration are measured.
	configChanges    = 5
	announceInterval = time.Second
	// revisionTimeout bounds the wait until all proxies have applied a revision.
	revisionTimeout      = 30 * time.Second
	revisionPollInterval = 5 * time.Millisecond
)

// UplinksReport is the result of Uplinks.
type UplinksReport struct {
	Uplinks int `json:"daemons"`
	// ControlCPUPercent is the processor time of control's leader, in percent of one
	// processor.
	ControlCPUPercent float64 `json:"control_percent"`
	// ControlMemoryBytes is the leader's resident memory.
	ControlMemoryBytes int64 `json:"control_bytes"`
	// BytesPerSecond is the traffic of one uplink in both directions while the
	// configuration doesn't change.
	BytesPerSecond float64 `json:"bytes_per_second"`
	// PropagationMillis has, for each change of the configuration, the time from the
	// operator's command until the last proxy has applied the change.
	PropagationMillis []int64 `json:"in_force_ms"`
	// BytesPerChange is the additional traffic of one uplink for one change.
	BytesPerChange float64 `json:"bytes_per_change"`
}

// simulatedProxy runs the uplink of a proxy in this process, without connections to
// members. It reports that it holds the three members of a group of its own.
type simulatedProxy struct {
	endpoint *ctquic.Endpoint
	state    *ctstate.State
	uplink   *ctuplink.Uplink
	group    ctid.Group
	domain   ctid.FailureDomain
	index    int
}

// Uplinks measures one control process with a number of simulated proxies and as
// many groups. The count must be at least 1; heartbeat is the interval of reports.
func Uplinks(ctx context.Context, binFolder string, count int, heartbeat time.Duration) (*UplinksReport, error) {
	shape := ctfleet.Shape{
		FailureDomains: defaultFailureDomains(),
		Controls:       1,
		Config:         uplinksConfig(count, time.Second),
		ReportTimeout:  reportTimeoutHeartbeats * heartbeat,
	}
	fleet, stop, err := startFleet(binFolder, shape)
	if err != nil {
		return nil, err
	}
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	proxies, err := startProxies(ctx, fleet, count, heartbeat)
	defer closeProxies(proxies)
	if err != nil {
		return nil, err
	}
	if err := awaitRevision(proxies, 1); err != nil {
		return nil, err
	}
	time.Sleep(settleDelay)
	report := &UplinksReport{Uplinks: count}
	if err := report.measureIdle(fleet); err != nil {
		return nil, err
	}
	return report, report.measureConfigChanges(fleet, proxies)
}

// uplinksConfig returns a configuration with a group for each simulated proxy.
func uplinksConfig(count int, maxAge time.Duration) string {
	text := fmt.Sprintf("defaults:\n  reads:\n    max_age: %s\ngroups:\n", maxAge)
	for i := range count {
		text += fmt.Sprintf("  - name: group-%d\n    size: %d\n", i, membersPerGroup)
	}
	return text
}

// startProxies starts simulated proxies, which run until the context ends. After an
// error it returns those that it has started. The caller must close the proxies.
func startProxies(
	ctx context.Context, fleet *ctfleet.Fleet, count int, heartbeat time.Duration,
) ([]*simulatedProxy, error) {
	keys, err := issueKeys(filepath.Join(fleet.Folder, "keys"), filepath.Join(fleet.Folder, "keys-daemons"))
	if err != nil {
		return nil, err
	}
	proxies := make([]*simulatedProxy, 0, count)
	for i := range count {
		p, err := newSimulatedProxy(fleet, keys, i, heartbeat)
		if err != nil {
			return proxies, err
		}
		proxies = append(proxies, p)
		go p.uplink.Run(ctx)
		go p.announce(ctx)
	}
	return proxies, nil
}

func closeProxies(proxies []*simulatedProxy) {
	for _, p := range proxies {
		_ = p.endpoint.Close()
	}
}

// newSimulatedProxy returns a proxy whose uplink doesn't run yet. The index names the
// proxy and its group, and selects the failure domain.
func newSimulatedProxy(
	fleet *ctfleet.Fleet, keys *ctkey.Bundle, index int, heartbeat time.Duration,
) (*simulatedProxy, error) {
	endpoint, err := ctquic.Listen(anyLoopbackPort, keys)
	if err != nil {
		return nil, err
	}
	domain := fleet.Shape.FailureDomains[index%len(fleet.Shape.FailureDomains)]
	fleet.Network.SetFailureDomain(endpoint.Address().Port(), domain)
	p := &simulatedProxy{
		endpoint: endpoint,
		state:    ctstate.New(),
		group:    ctid.Group(fmt.Sprintf("group-%d", index)),
		domain:   ctid.FailureDomain(domain),
		index:    index,
	}
	p.uplink = ctuplink.New(ctuplink.Options{
		Self: ctview.Proxy{
			Name:          ctid.Proxy(fmt.Sprintf("daemon-%d", index)),
			FailureDomain: p.domain,
			Address:       endpoint.Address(),
			Incarnation:   1,
			State:         ctserver.StateReady,
		},
		Seeds:             []netip.AddrPort{fleet.Controls[0].PeerRelay},
		HeartbeatInterval: heartbeat,
		State:             p.state,
		Members:           p,
		Transport:         &ctstream.Transport{Endpoint: endpoint},
		Clock:             ctclock.System{},
		Logger:            zerolog.Nop(),
		Metrics:           ctmetric.New(prometheus.NewRegistry()),
	})
	return p, nil
}

// announce announces the members at an interval until the context ends. The announced
// address is a placeholder, since nothing connects to the members.
func (p *simulatedProxy) announce(ctx context.Context) {
	for ctx.Err() == nil {
		for i := range membersPerGroup {
			_ = p.uplink.Announce(ctserver.Announcement{
				Group: p.group, Member: p.member(i), FailureDomain: p.domain,
				Address:     netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 1),
				Incarnation: 1, Role: p.role(i), Term: 1, State: ctserver.StateReady, Slots: 5, Connections: 75,
			})
		}
		select {
		case <-ctx.Done():
		case <-time.After(announceInterval):
		}
	}
}

func (p *simulatedProxy) member(memberIndex int) ctid.Member {
	return ctid.Member(fmt.Sprintf("member-%d-%d", p.index, memberIndex))
}

// role returns the role of a member: the first one is the primary.
func (p *simulatedProxy) role(memberIndex int) ctserver.Role {
	if memberIndex == 0 {
		return ctserver.RolePrimary
	}
	return ctserver.RoleReplica
}

// HeldMembers returns the same healthy state of the proxy's members at each call. The
// uplink calls it for its reports.
func (p *simulatedProxy) HeldMembers(*ctlock.Held) []ctview.MemberReport {
	held := make([]ctview.MemberReport, membersPerGroup)
	point := ctposition.Point{Term: 1, Position: 64}
	for i := range held {
		held[i] = ctview.MemberReport{
			Group: p.group, Member: p.member(i), Health: ctview.HealthUp, Serving: true,
			Status: ctserver.Status{Role: p.role(i), Received: point, Applied: point, Incarnation: 1},
		}
	}
	return held
}

// revision returns the revision of the configuration that the proxy has applied.
func (p *simulatedProxy) revision() ctid.Revision {
	var held ctlock.Held
	return p.state.View(&held).Config.Revision
}

// awaitRevision waits until all proxies have applied a revision or a later one. It
// returns an error after revisionTimeout.
func awaitRevision(proxies []*simulatedProxy, revision ctid.Revision) error {
	deadline := time.Now().Add(revisionTimeout)
	for _, p := range proxies {
		for p.revision() < revision {
			if time.Now().After(deadline) {
				return errors.Errorf("proxy %d has applied revision %s instead of %s", p.index, p.revision(), revision)
			}
			time.Sleep(revisionPollInterval)
		}
	}
	return nil
}

// measureIdle measures control while the uplinks send only heartbeats and
// announcements.
func (r *UplinksReport) measureIdle(fleet *ctfleet.Fleet) error {
	control := fleet.Controls[0]
	before, err := cpuTime(control)
	if err != nil {
		return err
	}
	bytesBefore := fleet.TrafficBytes(fleet.Controls)
	time.Sleep(idleWindow)
	after, err := cpuTime(control)
	if err != nil {
		return err
	}
	const percent = 100
	r.ControlCPUPercent = percent * (after - before).Seconds() / idleWindow.Seconds()
	r.BytesPerSecond = float64(fleet.TrafficBytes(fleet.Controls)-bytesBefore) / idleWindow.Seconds() / float64(r.Uplinks)
	r.ControlMemoryBytes, err = residentMemory(control)
	return err
}

// measureConfigChanges measures changes of the configuration, one after the other. It
// subtracts the idle traffic, so it needs the result of measureIdle.
func (r *UplinksReport) measureConfigChanges(fleet *ctfleet.Fleet, proxies []*simulatedProxy) error {
	bytesBefore := fleet.TrafficBytes(fleet.Controls)
	startedAt := time.Now()
	for i := range configChanges {
		elapsed, err := applyConfigChange(fleet, proxies, i+1)
		if err != nil {
			return err
		}
		r.PropagationMillis = append(r.PropagationMillis, elapsed.Milliseconds())
	}
	idle := r.BytesPerSecond * time.Since(startedAt).Seconds()
	r.BytesPerChange = (float64(fleet.TrafficBytes(fleet.Controls)-bytesBefore)/float64(r.Uplinks) - idle) / configChanges
	return nil
}

// applyConfigChange replaces the configuration through the operator's command. It
// returns the time until all proxies have applied the new revision. The value
// baseRevision is the revision that is replaced. The maximum age in seconds is the new
// revision, so each change differs from the configuration before it.
func applyConfigChange(fleet *ctfleet.Fleet, proxies []*simulatedProxy, baseRevision int) (time.Duration, error) {
	file := filepath.Join(fleet.Folder, "change.yaml")
	text := uplinksConfig(len(proxies), time.Duration(baseRevision+1)*time.Second)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return 0, errors.Wrap(err, "write the configuration")
	}
	startedAt := time.Now()
	output, err := fleet.RunCommand("config", "apply", "--control-http", fleet.ControlHTTPAddresses(),
		"--file", file, "--base", fmt.Sprint(baseRevision), "--author", "lab")
	if err != nil {
		return 0, errors.Errorf("the change was not accepted: %s", output)
	}
	err = awaitRevision(proxies, ctid.Revision(baseRevision+1))
	return time.Since(startedAt), err
}
