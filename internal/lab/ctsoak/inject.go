package ctsoak

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// injector injects the faults of a fleet's plan.
type injector struct {
	fleet  *Fleet
	logger zerolog.Logger
}

// run injects the plan's faults at their times, each in a goroutine of its own. It returns
// when all of them are over or when ctx ends. No fault outlasts the plan's FaultDuration by
// more than its own duration.
func (i *injector) run(ctx context.Context) {
	start := time.Now()
	done := make(chan struct{}, len(i.fleet.plan.Schedule))
	for _, e := range i.fleet.plan.Schedule {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(e.After))):
		}
		i.logger.Info().Str("event", "fault").Str("kind", fmt.Sprintf("%T", e.Fault)).
			Str("fault", fmt.Sprintf("%+v", e.Fault)).Send()
		go func() {
			i.inject(ctx, e.Fault)
			done <- struct{}{}
		}()
	}
	for range i.fleet.plan.Schedule {
		select {
		case <-ctx.Done():
			return
		case <-done:
		}
	}
}

// inject runs one fault from its beginning to its end. Planned stops, reloads and holds of
// promotion requests are not recorded as unplanned faults of the fleet, and a planned replacement
// is one only from the moment at which the member stops.
func (i *injector) inject(ctx context.Context, fault Fault) {
	switch f := fault.(type) {
	case Stop:
		i.stop(ctx, i.fleet.processHost(f.Host), f.Down)
	case Hangup:
		h := i.fleet.processHost(f.Host)
		if i.fleet.writeSettings(h) == nil {
			h.process.Reload()
		}
	case Hold:
		h := i.fleet.processHost(f.Host)
		begin, end := func() { i.fleet.requests.hold(h.String()) }, func() { i.fleet.requests.release(h.String()) }
		i.applyFor(ctx, nil, f.For, begin, end)
	case Retire:
		i.retire(ctx, i.fleet.server(f.Host))
	default:
		defer i.fleet.beginUnplannedFault()()
		i.injectUnplanned(ctx, fault)
	}
}

// injectUnplanned runs a fault that the affected process or member isn't warned of.
func (i *injector) injectUnplanned(ctx context.Context, fault Fault) {
	fleet := i.fleet
	switch f := fault.(type) {
	case Kill:
		i.kill(ctx, f.Hosts, f.Down, func(*host) {})
	case Wipe:
		i.kill(ctx, []Host{f.Host}, f.Down, func(h *host) {
			if err := os.RemoveAll(h.settings.DataFolder); err == nil {
				_ = fleet.writeSettings(h)
			}
		})
	case Tear:
		i.kill(ctx, []Host{f.Host}, f.Down, tear)
	case Freeze:
		h := fleet.processHost(f.Host)
		i.applyFor(ctx, h, f.For, h.process.Pause, h.process.Resume)
	case Cut:
		i.cut(ctx, f)
	case Delay:
		_, processIP := fleet.addresses(f.Host)
		i.applyFor(ctx, i.hostOrNil(f.Host), f.For,
			func() { fleet.links.SetDelay(processIP, f.By) }, func() { fleet.links.SetDelay(processIP, 0) })
	case Reset:
		_, processIP := fleet.addresses(f.Host)
		i.applyFor(ctx, i.hostOrNil(f.Host), 0, func() { fleet.links.Reset(processIP) }, func() {})
	case Silence:
		_, processIP := fleet.addresses(f.Host)
		i.applyFor(ctx, i.hostOrNil(f.Host), 0, func() { fleet.links.Blackhole(processIP) }, func() {})
	case Overtake:
		i.overtake(ctx, fleet.groups[f.Group], f.For)
	default:
		i.injectMember(ctx, fault)
	}
}

// hostOrNil returns the host of a proxy or control process, or nil for a member.
func (i *injector) hostOrNil(name Host) *host {
	if name.Kind == KindMember {
		return nil
	}
	return i.fleet.processHost(name)
}

// applyFor begins a fault, waits for its duration and ends it. It records both moments at
// the host h, which is nil for a member and for a hold.
func (i *injector) applyFor(ctx context.Context, h *host, duration time.Duration, begin, end func()) {
	begin()
	if h != nil {
		h.recordOngoing(1)
	}
	sleep(ctx, duration)
	end()
	if h != nil {
		h.recordOngoing(-1)
	}
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// kill kills processes one right after the other and starts them again after the down time.
// It calls whileDown for each process as soon as that process has ended.
func (i *injector) kill(ctx context.Context, names []Host, down time.Duration, whileDown func(h *host)) {
	for _, n := range names {
		h := i.fleet.processHost(n)
		h.recordFault()
		h.kill()
		whileDown(h)
	}
	sleep(ctx, down)
	for _, n := range names {
		i.start(ctx, i.fleet.processHost(n))
	}
}

// start starts a stopped process again and logs a failure to do so.
func (i *injector) start(ctx context.Context, h *host) {
	if ctx.Err() != nil {
		return
	}
	h.recordFault()
	if err := h.start(); err != nil {
		i.logger.Error().Str("event", "start_failed").Stringer("host", h.Host).Str("error", err.Error()).Send()
	}
}

// tear appends the first bytes of a record to each file of a dead process, as an
// interrupted write does that was never synced.
func tear(h *host) {
	files, err := filepath.Glob(filepath.Join(h.settings.DataFolder, "*"))
	if err != nil {
		return
	}
	for _, name := range files {
		file, err := os.OpenFile(name, os.O_APPEND|os.O_WRONLY, 0)
		if err != nil {
			continue
		}
		_, _ = file.Write([]byte{0x40, 0, 0, 0, 0x13, 0x37, 0xa5})
		_ = file.Close()
	}
}

// stop asks a process to stop, kills it if it runs on after stopTimeout, and starts it
// again after the down time.
func (i *injector) stop(ctx context.Context, h *host, down time.Duration) {
	h.mutex.Lock()
	h.shouldRun = false
	h.lastStop = time.Now()
	h.mutex.Unlock()
	h.process.Stop(stopTimeout)
	h.kill()
	sleep(ctx, down)
	i.start(ctx, h)
}

// cut stops the traffic between a host and all others, in one direction or both, and
// lets it pass again after the fault's duration.
func (i *injector) cut(ctx context.Context, f Cut) {
	fleet := i.fleet
	_, processIP := fleet.addresses(f.Host)
	each := func(change func(from, to netip.Addr)) {
		for _, other := range fleet.others(f.Host) {
			_, otherIP := fleet.addresses(other)
			if f.Receives {
				change(otherIP, processIP)
			}
			if f.Sends {
				change(processIP, otherIP)
			}
		}
	}
	i.applyFor(ctx, i.hostOrNil(f.Host), f.For, func() { each(fleet.links.Cut) }, func() { each(fleet.links.Heal) })
}

// others returns all hosts but one, members included.
func (f *Fleet) others(except Host) []Host {
	var others []Host
	for _, h := range f.processHosts() {
		if h.Host != except {
			others = append(others, h.Host)
		}
	}
	for n := range f.servers {
		if h := (Host{KindMember, n}); h != except {
			others = append(others, h)
		}
	}
	return others
}

// injectMember runs a fault of a member. A crash of a member that is already down or being
// replaced is skipped.
func (i *injector) injectMember(ctx context.Context, fault Fault) {
	switch f := fault.(type) {
	case Crash:
		v := i.fleet.server(f.Host)
		if !v.reserve() {
			return
		}
		defer v.release()
		v.crash()
		sleep(ctx, f.Down)
		v.restart(ctx, v.member.name, i.logger)
	case Hamper:
		v := i.fleet.server(f.Host)
		v.member.group.SetFaults(v.member, func(faults *memberFaults) {
			*faults = memberFaults{
				applyLag: defaultApplyLag, statementDuration: defaultStatementDuration,
				isolated: f.Apart, answersToDrop: f.Lose, failuresPerTen: f.Failing,
			}
			if f.Work > 0 {
				faults.statementDuration = f.Work
			}
			if f.Lag > 0 {
				faults.applyLag = f.Lag
			}
		})
		sleep(ctx, f.For)
		v.member.group.SetFaults(v.member, func(faults *memberFaults) {
			*faults = memberFaults{applyLag: defaultApplyLag, statementDuration: defaultStatementDuration}
		})
	}
}

// retireDelay is how long a member runs on after it has begun to report that it leaves.
const retireDelay = 4 * time.Second

// retire replaces a member in a planned way: the member reports that it leaves, stops,
// and starts again with its log and address under a new name.
func (i *injector) retire(ctx context.Context, v *server) {
	if !v.reserve() {
		return
	}
	defer v.release()
	v.member.group.StartLeaving(v.member)
	sleep(ctx, retireDelay)
	defer i.fleet.beginUnplannedFault()()
	v.crash()
	sleep(ctx, time.Second)
	v.generation++
	v.restart(ctx, ctid.Member(fmt.Sprintf("%s-%d", v.originalName, v.generation)), i.logger)
}

// overtakeTimeout is how long an Overtake waits for a promotion request.
const overtakeTimeout = 5 * time.Second

// overtake runs an Overtake fault, unless the primary is down or another one waits for a request.
func (i *injector) overtake(ctx context.Context, g *Group, duration time.Duration) {
	v := i.fleet.primaryServer(g)
	if !v.reserve() {
		return
	}
	defer v.release()
	trap := i.fleet.requests.setTrap()
	if trap == nil {
		return
	}
	v.crash()
	defer func() { v.restart(ctx, v.member.name, i.logger) }()
	sender, ok := i.fleet.requests.awaitSender(ctx, trap, overtakeTimeout)
	if !ok {
		return
	}
	defer i.fleet.requests.release(sender)
	i.logger.Info().Str("event", "request_held").Str("sender", sender).Send()
	for _, c := range i.fleet.controls {
		if c.String() == sender {
			i.cut(ctx, Cut{Host: c.Host, Receives: true, Sends: true, For: duration})
		}
	}
}

// primaryServer returns the server of a group's latest primary.
func (f *Fleet) primaryServer(g *Group) *server {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, v := range f.servers {
		if v.member == g.latestPrimary {
			return v
		}
	}
	return nil
}
