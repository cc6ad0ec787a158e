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

// directRetryInterval is how long a proxy stays with a relay before it looks whether it
// reaches control by itself again.
const directRetryInterval = 6 * time.Second

// Relay passes the reports and watches of another proxy on, beginning with the
// first one, which can't reach
// control by itself. What control grants counts from the moment at which that
// proxy sent its report, so that the way round takes nothing from its safety.
func (u *Uplink) Relay(ctx context.Context, stream ctframe.Stream, first ctframe.Frame) {
	var upstream ctframe.Stream
	defer func() {
		if upstream != nil {
			upstream.Close()
		}
	}()
	var held ctlock.Held
	for frame := first; ; {
		timeout, ok := u.relayTimeout(frame)
		if !ok {
			return
		}
		if upstream == nil {
			upstream = u.openUpstream(ctx, &held)
		}
		answer := callOrNil(ctx, upstream, frame, timeout)
		if reply, ok := answer.(*ctframe.ReportReply); !ok || reply.NotLeader {
			if upstream != nil {
				upstream.Close()
				upstream = nil
			}
			answer = notLeaderReply(frame)
		}
		if stream.Write(answer) != nil {
			return
		}
		var err error
		if frame, err = stream.Read(); err != nil {
			return
		}
	}
}

// relayTimeout returns how long a frame's answer may take, and whether it is one
// that is passed on.
func (u *Uplink) relayTimeout(frame ctframe.Frame) (time.Duration, bool) {
	switch frame.(type) {
	case *ctframe.Report:
		return callTimeout, true
	case *ctframe.Watch:
		return u.watchTimeout(), true
	}
	return 0, false
}

// notLeaderReply answers a frame that can't be passed on.
func notLeaderReply(frame ctframe.Frame) *ctframe.ReportReply {
	reply := &ctframe.ReportReply{Reply: ctview.Reply{NotLeader: true}}
	if report, ok := frame.(*ctframe.Report); ok {
		reply.Number = report.Number
	}
	return reply
}

// openUpstream opens a way to the control process that answered this proxy last,
// or returns nil where none does.
func (u *Uplink) openUpstream(ctx context.Context, held *ctlock.Held) ctframe.Stream {
	address := u.activeControl.Get(held)
	if !address.IsValid() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	stream, err := u.Transport.Open(ctx, address)
	if err != nil {
		return nil
	}
	return stream
}

// callOrNil asks over a way and returns the answer, or nil where there is none.
func callOrNil(ctx context.Context, stream ctframe.Stream, frame ctframe.Frame, timeout time.Duration) ctframe.Frame {
	if stream == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := ctframe.Call(ctx, stream, frame)
	if err != nil {
		return nil
	}
	return answer
}

// relayAddresses lists the other proxies of the view, those of this failure domain first
// and otherwise in an order of this proxy's own, so that the proxies of a part
// that is cut off spread over those that are not.
func (u *Uplink) relayAddresses(held *ctlock.Held) []netip.AddrPort {
	view := u.State.View(held)
	proxies := slices.Collect(maps.Values(view.Proxies))
	slices.SortFunc(proxies, func(a, b ctview.Proxy) int { return cmp.Compare(u.relayOrder(a), u.relayOrder(b)) })
	var addresses []netip.AddrPort
	for _, p := range proxies {
		if p.Name != u.Self.Name {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// relayOrder orders proxies for this one: by failure domain, then around the names.
func (u *Uplink) relayOrder(p ctview.Proxy) string {
	otherDomain, wrapped := "0", "0"
	if p.FailureDomain != u.Self.FailureDomain {
		otherDomain = "1"
	}
	if p.Name < u.Self.Name {
		wrapped = "1"
	}
	return otherDomain + wrapped + string(p.Name)
}
