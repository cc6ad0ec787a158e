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

// peerWay is a way to the holder of a member, which is opened again when it
// fails or when the holder changes.
type peerWay struct {
	holding *Holder
	held    ctlock.Held
	address netip.AddrPort
	way     ctframe.Stream
}

// ask sends a frame to the holder of the member and returns its answer.
func (p *peerWay) ask(ctx context.Context, name ctid.Member, frame ctframe.Frame) (ctframe.Frame, error) {
	view := p.holding.State.View(&p.held)
	holder, ok := ctholder.Of(view, name)
	if !ok {
		return nil, cterror.New(cterror.Unavailable, "the member has no holder", "start a proxy in its failure domain")
	}
	if p.way != nil && p.address != holder.Address {
		p.close()
	}
	if p.way == nil {
		way, err := p.holding.Transport.Open(ctx, holder.Address)
		if err != nil {
			return nil, err
		}
		p.way, p.address = way, holder.Address
	}
	answer, err := ctframe.Call(ctx, p.way, frame)
	if err != nil {
		p.close()
	}
	return answer, err
}

func (p *peerWay) close() {
	if p.way != nil {
		p.way.Close()
		p.way = nil
	}
}
