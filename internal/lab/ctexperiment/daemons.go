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

// The sizes of the experiment on daemons.
const (
	membersOfGroup   = 3
	configChanges    = 5
	announcementTime = time.Second
	inForceTime      = 30 * time.Second
	inForcePause     = 5 * time.Millisecond
)

// UplinksReport is what Daemons measured.
type UplinksReport struct {
	Uplinks int `json:"daemons"`
	// ControlCPUPercent is the share of a processor that the leader uses.
	ControlCPUPercent  float64 `json:"control_percent"`
	ControlMemoryBytes int64   `json:"control_bytes"`
	// BytesPerSecond is what a daemon and control send each other, in bytes a second.
	BytesPerSecond float64 `json:"bytes_per_second"`
	// PropagationMillis lists the times from the call of an operator's change until the
	// last daemon had it in force, in milliseconds.
	PropagationMillis []int64 `json:"in_force_ms"`
	// BytesPerChange is what such a change costs a daemon, in bytes.
	BytesPerChange float64 `json:"bytes_per_change"`
}

// daemon is the part of a proxy that talks to control, in this process. It says
// that it holds the three members of a group of its own.
type daemon struct {
	endpoint *ctquic.Endpoint
	state    *ctstate.State
	uplink   *ctuplink.Uplink
	group    ctid.Group
	domain   ctid.FailureDomain
	number   int
}

// Uplinks measures control with so many daemons and as many groups.
func Uplinks(ctx context.Context, programs string, count int, heartbeat time.Duration) (*UplinksReport, error) {
	s := ctfleet.Shape{
		Sites:         sites(),
		Controls:      1,
		Config:        daemonsConfig(count, time.Second),
		ReportTimeout: silentBeats * heartbeat,
	}
	fleet, end, err := begin(programs, s)
	if err != nil {
		return nil, err
	}
	defer end()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	daemons, err := startDaemons(ctx, fleet, count, heartbeat)
	defer closeDaemons(daemons)
	if err != nil {
		return nil, err
	}
	if err := awaitRevision(daemons, 1); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	report := &UplinksReport{Uplinks: count}
	if err := report.rest(fleet); err != nil {
		return nil, err
	}
	return report, report.change(fleet, daemons)
}

// daemonsConfig declares a group for each daemon.
func daemonsConfig(count int, maxAge time.Duration) string {
	text := fmt.Sprintf("defaults:\n  reads:\n    max_age: %s\ngroups:\n", maxAge)
	for i := range count {
		text += fmt.Sprintf("  - name: group-%d\n    size: %d\n", i, membersOfGroup)
	}
	return text
}

func startDaemons(
	ctx context.Context, fleet *ctfleet.Fleet, count int, heartbeat time.Duration,
) ([]*daemon, error) {
	keys, err := issueKeys(filepath.Join(fleet.Folder, "keys"), filepath.Join(fleet.Folder, "keys-daemons"))
	if err != nil {
		return nil, err
	}
	daemons := make([]*daemon, 0, count)
	for i := range count {
		d, err := newDaemon(fleet, keys, i, heartbeat)
		if err != nil {
			return daemons, err
		}
		daemons = append(daemons, d)
		go d.uplink.Run(ctx)
		go d.announce(ctx)
	}
	return daemons, nil
}

func closeDaemons(daemons []*daemon) {
	for _, d := range daemons {
		_ = d.endpoint.Close()
	}
}

func newDaemon(fleet *ctfleet.Fleet, keys *ctkey.Bundle, number int, heartbeat time.Duration) (*daemon, error) {
	endpoint, err := ctquic.Listen(loopback, keys)
	if err != nil {
		return nil, err
	}
	site := fleet.Shape.Sites[number%len(fleet.Shape.Sites)]
	fleet.Network.SetSite(endpoint.Address().Port(), site)
	d := &daemon{
		endpoint: endpoint,
		state:    ctstate.New(),
		group:    ctid.Group(fmt.Sprintf("group-%d", number)),
		domain:   ctid.FailureDomain(site),
		number:   number,
	}
	d.uplink = ctuplink.New(ctuplink.Options{
		Self: ctview.Proxy{
			Name:          ctid.Proxy(fmt.Sprintf("daemon-%d", number)),
			FailureDomain: d.domain,
			Address:       endpoint.Address(),
			Incarnation:   1,
			State:         ctserver.StateReady,
		},
		Seeds:             []netip.AddrPort{fleet.Controls[0].PeerRelay},
		HeartbeatInterval: heartbeat,
		State:             d.state,
		Members:           d,
		Transport:         &ctstream.Transport{Endpoint: endpoint},
		Clock:             ctclock.System{},
		Logger:            zerolog.Nop(),
		Metrics:           ctmetric.New(prometheus.NewRegistry()),
	})
	return d, nil
}

// announce announces the members again and again.
func (d *daemon) announce(ctx context.Context) {
	for ctx.Err() == nil {
		for i := range membersOfGroup {
			_ = d.uplink.Announce(ctserver.Announcement{
				Group: d.group, Member: d.member(i), FailureDomain: d.domain,
				Address:     netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 1),
				Incarnation: 1, Role: d.role(i), Term: 1, State: ctserver.StateReady, Slots: 5, Connections: 75,
			})
		}
		select {
		case <-ctx.Done():
		case <-time.After(announcementTime):
		}
	}
}

func (d *daemon) member(number int) ctid.Member {
	return ctid.Member(fmt.Sprintf("member-%d-%d", d.number, number))
}

func (d *daemon) role(number int) ctserver.Role {
	if number == 0 {
		return ctserver.RolePrimary
	}
	return ctserver.RoleReplica
}

// HeldMembers returns the accounts of the daemon's members.
func (d *daemon) HeldMembers(*ctlock.Held) []ctview.MemberReport {
	held := make([]ctview.MemberReport, membersOfGroup)
	point := ctposition.Point{Term: 1, Position: 64}
	for i := range held {
		held[i] = ctview.MemberReport{
			Group: d.group, Member: d.member(i), Health: ctview.HealthUp, Serving: true,
			Status: ctserver.Status{Role: d.role(i), Received: point, Applied: point, Incarnation: 1},
		}
	}
	return held
}

// revision returns the configuration that the daemon has in force.
func (d *daemon) revision() ctid.Revision {
	var held ctlock.Held
	return d.state.View(&held).Config.Revision
}

// awaitRevision waits until all daemons have a configuration in force.
func awaitRevision(daemons []*daemon, revision ctid.Revision) error {
	limit := time.Now().Add(inForceTime)
	for _, d := range daemons {
		for d.revision() < revision {
			if time.Now().After(limit) {
				return errors.Errorf("daemon %d has revision %s in force, not %s", d.number, d.revision(), revision)
			}
			time.Sleep(inForcePause)
		}
	}
	return nil
}

// rest measures control while nothing happens.
func (r *UplinksReport) rest(fleet *ctfleet.Fleet) error {
	control := fleet.Controls[0]
	before, err := spent(control)
	if err != nil {
		return err
	}
	bytes := fleet.TrafficBytes(fleet.Controls)
	time.Sleep(idleTime)
	after, err := spent(control)
	if err != nil {
		return err
	}
	const percent = 100
	r.ControlCPUPercent = percent * (after - before).Seconds() / idleTime.Seconds()
	r.BytesPerSecond = float64(fleet.TrafficBytes(fleet.Controls)-bytes) / idleTime.Seconds() / float64(r.Uplinks)
	r.ControlMemoryBytes, err = resident(control)
	return err
}

// change measures changes of the configuration.
func (r *UplinksReport) change(fleet *ctfleet.Fleet, daemons []*daemon) error {
	bytes := fleet.TrafficBytes(fleet.Controls)
	began := time.Now()
	for i := range configChanges {
		taken, err := changeOnce(fleet, daemons, i+1)
		if err != nil {
			return err
		}
		r.PropagationMillis = append(r.PropagationMillis, taken.Milliseconds())
	}
	rest := r.BytesPerSecond * time.Since(began).Seconds()
	r.BytesPerChange = (float64(fleet.TrafficBytes(fleet.Controls)-bytes)/float64(r.Uplinks) - rest) / configChanges
	return nil
}

func changeOnce(fleet *ctfleet.Fleet, daemons []*daemon, base int) (time.Duration, error) {
	file := filepath.Join(fleet.Folder, "change.yaml")
	text := daemonsConfig(len(daemons), time.Duration(base+1)*time.Second)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return 0, errors.Wrap(err, "write the configuration")
	}
	began := time.Now()
	output, err := fleet.RunCommand("config", "apply", "--control-http", fleet.ControlHTTPAddresses(),
		"--file", file, "--base", fmt.Sprint(base), "--author", "lab")
	if err != nil {
		return 0, errors.Errorf("the change was not accepted: %s", output)
	}
	err = awaitRevision(daemons, ctid.Revision(base+1))
	return time.Since(began), err
}
