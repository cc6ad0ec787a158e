package ctheldlink

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/platform"
)

const (
	// reportInterval is the time between two reports of a member without a change.
	reportInterval = 1200 * time.Millisecond
	// reportTimeout is how long a member waits for control to confirm a report.
	reportTimeout = time.Second
	// roleCheckInterval is how often a member checks whether its role has changed.
	roleCheckInterval = 20 * time.Millisecond
	// memberSlots is how many slots a member reports.
	memberSlots = 5
)

// nowIncarnation returns the incarnation of a member that starts now.
func nowIncarnation() ctid.Incarnation {
	return ctid.Incarnation(time.Now().UnixMilli())
}

// reporter reports a member to control.
type reporter struct {
	member *Member
	// local is the address that the reports come from, and address the one in them.
	local, address netip.AddrPort
	domain         ctid.FailureDomain
	controls       []netip.AddrPort
}

// run reports the member until ctx ends, and at once when its role has changed. After a
// failed report it turns to the next control process.
func (r *reporter) run(ctx context.Context) {
	dialer := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(r.local.Addr(), 0))}
	client := platform.ExternalClient{HTTP: http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
	}}
	control := 0
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		a, running := r.announcement()
		a.Sequence = sequence
		if running {
			reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
			ok, err := client.Report(reportCtx, r.controls[control%len(r.controls)], a)
			cancel()
			if err != nil || !ok {
				control++
			}
		}
		r.awaitNext(ctx, a.Role, running)
	}
}

// announcement returns what the member reports of itself, and whether it runs.
func (r *reporter) announcement() (ctserver.Announcement, bool) {
	g, m := r.member.group, r.member
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return ctserver.Announcement{
		Group: groupName, Member: m.Name, FailureDomain: r.domain, Address: r.address, Slots: memberSlots,
		Role: m.status().Role, State: ctserver.StateReady, Incarnation: m.incarnation,
	}, m.running
}

// awaitNext waits until the next report is due.
func (r *reporter) awaitNext(ctx context.Context, role ctserver.Role, running bool) {
	due := time.After(reportInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-due:
			return
		case <-time.After(roleCheckInterval):
		}
		if a, runs := r.announcement(); a.Role != role || runs != running {
			return
		}
	}
}
