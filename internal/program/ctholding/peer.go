package ctholding

import (
	"context"
	"net/netip"

	"github.com/cherviltrestle/cherviltrestle/internal/fleet/ctholder"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// peerStream is a stream to the holder of a member. It is opened on demand, and
// again after a failure or a change of holder. It is for one goroutine.
type peerStream struct {
	holder  *Holder
	held    ctlock.Held
	address netip.AddrPort
	stream  ctframe.Stream
}

// call sends a frame to the holder of the member and returns its answer. It closes
// the stream on an error.
func (p *peerStream) call(ctx context.Context, name ctid.Member, frame ctframe.Frame) (ctframe.Frame, error) {
	view := p.holder.State.View(&p.held)
	holder, ok := ctholder.Of(view, name)
	if !ok {
		return nil, cterror.New(cterror.Unavailable, "the member has no holder", "start a proxy in its failure domain")
	}
	if p.stream != nil && p.address != holder.Address {
		p.close()
	}
	if p.stream == nil {
		stream, err := p.holder.Transport.Open(ctx, holder.Address)
		if err != nil {
			return nil, err
		}
		p.stream, p.address = stream, holder.Address
	}
	answer, err := ctframe.Call(ctx, p.stream, frame)
	if err != nil {
		p.close()
	}
	return answer, err
}

func (p *peerStream) close() {
	if p.stream != nil {
		p.stream.Close()
		p.stream = nil
	}
}
