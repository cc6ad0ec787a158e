package ctuplink

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// directTime is how long a proxy stays with a relay before it looks whether it
// reaches control by itself again.
const directTime = 6 * time.Second

// Relay passes the reports and watches of another proxy on, beginning with the
// first one, which can't reach
// control by itself. What control grants counts from the moment at which that
// proxy sent its report, so that the way round takes nothing from its safety.
func (u *Uplink) Relay(ctx context.Context, way ctframe.Stream, first ctframe.Frame) {
	var onward ctframe.Stream
	defer func() {
		if onward != nil {
			onward.Close()
		}
	}()
	var held ctlock.Held
	for frame := first; ; {
		limit, ok := u.relayTime(frame)
		if !ok {
			return
		}
		if onward == nil {
			onward = u.openOnward(ctx, &held)
		}
		answer := ask(ctx, onward, frame, limit)
		if reply, ok := answer.(*ctframe.ReportReply); !ok || reply.NotLeader {
			if onward != nil {
				onward.Close()
				onward = nil
			}
			answer = unready(frame)
		}
		if way.Write(answer) != nil {
			return
		}
		var err error
		if frame, err = way.Read(); err != nil {
			return
		}
	}
}

// relayTime returns how long a frame's answer may take, and whether it is one
// that is passed on.
func (u *Uplink) relayTime(frame ctframe.Frame) (time.Duration, bool) {
	switch frame.(type) {
	case *ctframe.Report:
		return askTime, true
	case *ctframe.Watch:
		return u.watchTime(), true
	}
	return 0, false
}

// unready answers a frame that can't be passed on.
func unready(frame ctframe.Frame) *ctframe.ReportReply {
	reply := &ctframe.ReportReply{Reply: ctview.Reply{NotLeader: true}}
	if report, ok := frame.(*ctframe.Report); ok {
		reply.Number = report.Number
	}
	return reply
}

// openOnward opens a way to the control process that answered this proxy last,
// or returns nil where none does.
func (u *Uplink) openOnward(ctx context.Context, held *ctlock.Held) ctframe.Stream {
	address := u.reached.Get(held)
	if !address.IsValid() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, openTime)
	defer cancel()
	way, err := u.Transport.Open(ctx, address)
	if err != nil {
		return nil
	}
	return way
}

// ask asks over a way and returns the answer, or nil where there is none.
func ask(ctx context.Context, way ctframe.Stream, frame ctframe.Frame, limit time.Duration) ctframe.Frame {
	if way == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer, err := ctframe.Call(ctx, way, frame)
	if err != nil {
		return nil
	}
	return answer
}

// relays lists the other proxies of the view, those of this failure domain first
// and otherwise in an order of this proxy's own, so that the proxies of a part
// that is cut off spread over those that are not.
func (u *Uplink) relays(held *ctlock.Held) []netip.AddrPort {
	view := u.State.View(held)
	proxies := slices.Collect(maps.Values(view.Proxies))
	slices.SortFunc(proxies, func(a, b ctview.Proxy) int { return cmp.Compare(u.distance(a), u.distance(b)) })
	var addresses []netip.AddrPort
	for _, p := range proxies {
		if p.Name != u.Self.Name {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// distance orders proxies for this one: by failure domain, then around the names.
func (u *Uplink) distance(p ctview.Proxy) string {
	far, before := "0", "0"
	if p.FailureDomain != u.Self.FailureDomain {
		far = "1"
	}
	if p.Name < u.Self.Name {
		before = "1"
	}
	return far + before + string(p.Name)
}
