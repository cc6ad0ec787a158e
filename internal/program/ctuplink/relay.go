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

// Relay forwards the reports and watches of a proxy that can't reach control, and
// returns the answers to it. The first frame of the stream has been read already. Relay
// returns when the stream fails or brings a frame of another type. Leases are as safe as
// without a relay: they run from the moment at which that proxy sent its report.
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
		if !isUpstreamAnswer(answer) {
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

// isUpstreamAnswer reports whether a frame of the upstream is for the other proxy. Otherwise the
// upstream can't be used any more.
func isUpstreamAnswer(answer ctframe.Frame) bool {
	switch a := answer.(type) {
	case *ctframe.ReportReply:
		return !a.NotLeader
	case *ctframe.Retry:
		return true
	}
	return false
}

// relayTimeout returns how long the answer to a frame may take, and whether frames of
// its type are forwarded.
func (u *Uplink) relayTimeout(frame ctframe.Frame) (time.Duration, bool) {
	switch frame.(type) {
	case *ctframe.Report:
		return callTimeout, true
	case *ctframe.Watch:
		return u.watchTimeout(), true
	}
	return 0, false
}

// notLeaderReply returns the answer to a frame that could not be forwarded to the
// leader. It makes the other proxy try another address.
func notLeaderReply(frame ctframe.Frame) *ctframe.ReportReply {
	reply := &ctframe.ReportReply{Reply: ctview.Reply{NotLeader: true}}
	if report, ok := frame.(*ctframe.Report); ok {
		reply.Number = report.Number
	}
	return reply
}

// openUpstream opens a stream to the control process that answers this proxy's
// reports. It returns nil if there is none or if it can't be reached.
func (u *Uplink) openUpstream(ctx context.Context, held *ctlock.Held) ctframe.Stream {
	current := u.route.Get(held)
	if !current.address.IsValid() || current.relayed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, relayOpenTimeout)
	defer cancel()
	stream, err := u.Transport.Open(ctx, current.address)
	if err != nil {
		return nil
	}
	return stream
}

// callOrNil sends a frame and returns the answer. It returns nil if stream is nil, on an
// error and after the timeout.
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

// relayAddresses lists the addresses of the other proxies in the view, in relayOrder. It
// lists none without Options.Groups, because write leases are too short for a detour.
// Each proxy has its own order, so that proxies that are cut off from control together
// spread over different relays.
func (u *Uplink) relayAddresses(held *ctlock.Held) []netip.AddrPort {
	if u.Groups == nil {
		return nil
	}
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

// relayOrder returns the sort key of a relay for this proxy. Proxies of its own failure
// domain come first. Among the others, and within the domain, those with a name after
// its own come before those with a lower name.
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
