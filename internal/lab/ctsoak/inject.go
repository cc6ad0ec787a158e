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

// injector does to a site what its plan says.
type injector struct {
	site   *Fleet
	logger zerolog.Logger
}

// run injects the plan's faults, each in a goroutine of its own, and returns when all
// are over. None outlasts the time for faults by more than its own length.
func (i *injector) run(ctx context.Context) {
	start := time.Now()
	done := make(chan struct{}, len(i.site.plan.Schedule))
	for _, e := range i.site.plan.Schedule {
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
	for range i.site.plan.Schedule {
		select {
		case <-ctx.Done():
			return
		case <-done:
		}
	}
}

// inject performs one fault from its beginning to its end.
func (i *injector) inject(ctx context.Context, fault Fault) {
	switch f := fault.(type) {
	case Stop:
		i.stop(ctx, i.site.host(f.Host), f.Down)
	case Hangup:
		h := i.site.host(f.Host)
		if i.site.write(h) == nil {
			h.process.Reload()
		}
	case Retire:
		i.retire(ctx, i.site.server(f.Host))
	default:
		defer i.site.begin()()
		i.injectUnplanned(ctx, fault)
	}
}

// injectUnplanned performs a fault that nobody was told of.
func (i *injector) injectUnplanned(ctx context.Context, fault Fault) {
	s := i.site
	switch f := fault.(type) {
	case Kill:
		i.kill(ctx, f.Hosts, f.Down, func(*host) {})
	case Wipe:
		i.kill(ctx, []Host{f.Host}, f.Down, func(h *host) {
			if err := os.RemoveAll(h.settings.DataFolder); err == nil {
				_ = s.write(h)
			}
		})
	case Tear:
		i.kill(ctx, []Host{f.Host}, f.Down, tear)
	case Freeze:
		h := s.host(f.Host)
		i.during(ctx, h, f.For, h.process.Pause, h.process.Resume)
	case Cut:
		i.cut(ctx, f)
	case Delay:
		_, local := s.addresses(f.Host)
		i.during(ctx, i.own(f.Host), f.For,
			func() { s.links.SetDelay(local, f.By) }, func() { s.links.SetDelay(local, 0) })
	case Reset:
		_, local := s.addresses(f.Host)
		i.during(ctx, i.own(f.Host), 0, func() { s.links.Reset(local) }, func() {})
	case Silence:
		_, local := s.addresses(f.Host)
		i.during(ctx, i.own(f.Host), 0, func() { s.links.Blackhole(local) }, func() {})
	default:
		i.injectMember(ctx, fault)
	}
}

// own returns the host of the system's own process, or nil for a member.
func (i *injector) own(name Host) *host {
	if name.Kind == KindMember {
		return nil
	}
	return i.site.host(name)
}

// during begins a fault, waits and ends it.
func (i *injector) during(ctx context.Context, h *host, length time.Duration, begin, end func()) {
	begin()
	if h != nil {
		h.disturb()
	}
	sleep(ctx, length)
	end()
	if h != nil {
		h.disturb()
	}
}

func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

// kill kills processes at once, does something to what they leave, and starts them
// again.
func (i *injector) kill(ctx context.Context, names []Host, down time.Duration, leave func(h *host)) {
	for _, n := range names {
		h := i.site.host(n)
		h.disturb()
		h.end()
		leave(h)
	}
	sleep(ctx, down)
	for _, n := range names {
		i.start(ctx, i.site.host(n))
	}
}

// start starts a process again.
func (i *injector) start(ctx context.Context, h *host) {
	if ctx.Err() != nil {
		return
	}
	h.disturb()
	if err := h.start(); err != nil {
		i.logger.Error().Str("event", "start_failed").Stringer("host", h.Host).Str("error", err.Error()).Send()
	}
}

// tear leaves the beginning of a write that was never synced at the end of a
// journal.
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

// stop performs a planned stop.
func (i *injector) stop(ctx context.Context, h *host, down time.Duration) {
	h.mutex.Lock()
	h.wanted = false
	h.stopping = time.Now()
	h.mutex.Unlock()
	h.process.Stop(stopTime)
	h.end()
	sleep(ctx, down)
	i.start(ctx, h)
}

// cut cuts a host off from all others, in one direction or both.
func (i *injector) cut(ctx context.Context, f Cut) {
	s := i.site
	_, local := s.addresses(f.Host)
	each := func(change func(from, to netip.Addr)) {
		for _, other := range s.others(f.Host) {
			_, far := s.addresses(other)
			if f.Receives {
				change(far, local)
			}
			if f.Sends {
				change(local, far)
			}
		}
	}
	i.during(ctx, i.own(f.Host), f.For, func() { each(s.links.Cut) }, func() { each(s.links.Heal) })
}

// others lists all hosts but one, members included.
func (s *Fleet) others(except Host) []Host {
	var others []Host
	for _, h := range s.hosts() {
		if h.Host != except {
			others = append(others, h.Host)
		}
	}
	for n := range s.servers {
		if h := (Host{KindMember, n}); h != except {
			others = append(others, h)
		}
	}
	return others
}

// injectMember performs a fault of a member.
func (i *injector) injectMember(ctx context.Context, fault Fault) {
	switch f := fault.(type) {
	case Crash:
		v := i.site.server(f.Host)
		if !v.claim() {
			return
		}
		defer v.free()
		v.crash()
		sleep(ctx, f.Down)
		v.restart(ctx, v.member.name, i.logger)
	case Hamper:
		v := i.site.server(f.Host)
		v.member.group.SetFaults(v.member, func(t *troubles) {
			*t = troubles{lag: usualLag, work: usualWork, apart: f.Apart, lose: f.Lose, failing: f.Failing}
			if f.Work > 0 {
				t.work = f.Work
			}
			if f.Lag > 0 {
				t.lag = f.Lag
			}
		})
		sleep(ctx, f.For)
		v.member.group.SetFaults(v.member, func(t *troubles) { *t = troubles{lag: usualLag, work: usualWork} })
	}
}

// retireTime is how long a member goes on after it has said that it leaves.
const retireTime = 4 * time.Second

// retire replaces a member in a planned way: its log goes to a new member at its
// address.
func (i *injector) retire(ctx context.Context, v *server) {
	if !v.claim() {
		return
	}
	defer v.free()
	v.member.group.StartLeaving(v.member)
	sleep(ctx, retireTime)
	defer i.site.begin()()
	v.crash()
	sleep(ctx, time.Second)
	v.generation++
	v.restart(ctx, ctid.Member(fmt.Sprintf("%s-%d", v.first, v.generation)), i.logger)
}
