package ctuplink

import (
	"context"
	"net/netip"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// follow waits for newer views, again and again.
func (u *Uplink) follow(ctx context.Context) {
	link := &link{uplink: u}
	defer link.close()
	var held ctlock.Held
	for ctx.Err() == nil {
		if err := u.watchOnce(ctx, link, &held); err == nil {
			continue
		}
		u.askPeers(ctx, &held)
		select {
		case <-ctx.Done():
		case <-u.Clock.After(retryPause):
		}
	}
}

func (u *Uplink) watchOnce(ctx context.Context, link *link, held *ctlock.Held) error {
	ctx, cancel := context.WithTimeout(ctx, u.watchTime())
	defer cancel()
	answer, err := link.ask(ctx, u.watch(held))
	if err != nil {
		return err
	}
	reply, ok := answer.(*ctframe.ReportReply)
	if !ok {
		link.close()
		return cterror.New(cterror.Unavailable, "control gave another answer", "check that all processes have one version")
	}
	if err := link.redirect(&reply.Reply); err != nil {
		return err
	}
	link.answered()
	return u.takeReply(held, reply)
}

// watchTime returns how long a watch may take.
func (u *Uplink) watchTime() time.Duration {
	if u.WatchTimeout == 0 {
		return watchTime
	}
	return u.WatchTimeout
}

// watch asks for what is newer than the view in hand.
func (u *Uplink) watch(held *ctlock.Held) *ctframe.Watch {
	view := u.State.View(held)
	return &ctframe.Watch{Version: view.Version, Revision: view.Config.Revision}
}

// takeReply takes the delta of a reply, which may be packed.
func (u *Uplink) takeReply(held *ctlock.Held, reply *ctframe.ReportReply) error {
	if len(reply.CompressedDelta) == 0 {
		return u.take(held, reply.Delta)
	}
	delta, err := ctframe.DecompressDelta(reply.CompressedDelta)
	if err != nil {
		return err
	}
	if len(reply.CompressedConfig) > 0 {
		part, err := ctframe.DecompressDelta(reply.CompressedConfig)
		if err != nil {
			return err
		}
		delta.Config, delta.ConfigPatch = part.Config, part.ConfigPatch
	}
	return u.take(held, delta)
}

// askPeers asks the proxies of this failure domain for the view, while this one
// has none and control can't be reached.
func (u *Uplink) askPeers(ctx context.Context, held *ctlock.Held) {
	if u.State.View(held).Version > 0 {
		return
	}
	for _, address := range u.Peers {
		if err := u.fetch(ctx, held, address); err != nil {
			u.Logger.Debug().Str("event", "fetch_failed").Str("error", err.Error()).Send()
		}
	}
}

func (u *Uplink) fetch(ctx context.Context, held *ctlock.Held, address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	way, err := u.Transport.Open(ctx, address)
	if err != nil {
		return err
	}
	defer way.Close()
	answer, err := ctframe.Call(ctx, way, &ctframe.Fetch{Version: u.State.View(held).Version})
	if err != nil {
		return err
	}
	fetched, ok := answer.(*ctframe.FetchReply)
	if !ok {
		return nil
	}
	return u.take(held, fetched.Delta)
}
