package ctuplink

import (
	"context"
	"net/netip"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// watchViews waits for newer views and applies them until ctx ends.
func (u *Uplink) watchViews(ctx context.Context) {
	link := &controlLink{uplink: u}
	defer link.close()
	var held ctlock.Held
	for ctx.Err() == nil {
		if err := u.watchOnce(ctx, link, &held); err == nil {
			continue
		}
		u.fetchFromPeers(ctx, &held)
		select {
		case <-ctx.Done():
		case <-u.Clock.After(retryDelay):
		}
	}
}

// watchOnce sends one watch and applies its reply, which arrives when there is a newer
// view or when control ends the watch.
func (u *Uplink) watchOnce(ctx context.Context, link *controlLink, held *ctlock.Held) error {
	ctx, cancel := context.WithTimeout(ctx, u.watchTimeout())
	defer cancel()
	answer, err := link.call(ctx, u.watchRequest(held))
	if err != nil {
		return err
	}
	reply, ok := answer.(*ctframe.ReportReply)
	if !ok {
		link.close()
		return cterror.New(cterror.Unavailable, "control sent an unexpected answer",
			"check that all processes have one version")
	}
	if err := link.redirect(&reply.Reply); err != nil {
		return err
	}
	link.recordAnswer()
	return u.applyReplyDelta(held, reply)
}

// watchTimeout returns how long a watch may take, including its reply.
func (u *Uplink) watchTimeout() time.Duration {
	if u.WatchTimeout == 0 {
		return defaultWatchTimeout
	}
	return u.WatchTimeout
}

// watchRequest returns the frame that requests whatever is newer than the current view.
func (u *Uplink) watchRequest(held *ctlock.Held) *ctframe.Watch {
	view := u.State.View(held)
	return &ctframe.Watch{Version: view.Version, Revision: view.Config.Revision}
}

// applyReplyDelta applies the delta of a reply. The delta and its configuration may be
// compressed, each by itself.
func (u *Uplink) applyReplyDelta(held *ctlock.Held, reply *ctframe.ReportReply) error {
	if len(reply.CompressedDelta) == 0 {
		return u.applyDelta(held, reply.Delta)
	}
	delta, err := ctframe.DecompressDelta(reply.CompressedDelta)
	if err != nil {
		return err
	}
	if len(reply.CompressedConfig) > 0 {
		config, err := ctframe.DecompressDelta(reply.CompressedConfig)
		if err != nil {
			return err
		}
		delta.Config, delta.ConfigPatch = config.Config, config.ConfigPatch
	}
	return u.applyDelta(held, delta)
}

// fetchFromPeers fetches the view from the peer proxies in Options.Peers, unless this
// proxy has a view. It is called when a watch has failed.
func (u *Uplink) fetchFromPeers(ctx context.Context, held *ctlock.Held) {
	if u.State.View(held).Version > 0 {
		return
	}
	for _, address := range u.Peers {
		if err := u.fetchFrom(ctx, held, address); err != nil {
			u.Logger.Debug().Str("event", "fetch_failed").Str("error", err.Error()).Send()
		}
	}
}

// fetchFrom fetches the view from the proxy at an address and applies it.
func (u *Uplink) fetchFrom(ctx context.Context, held *ctlock.Held, address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stream, err := u.Transport.Open(ctx, address)
	if err != nil {
		return err
	}
	defer stream.Close()
	answer, err := ctframe.Call(ctx, stream, &ctframe.Fetch{Version: u.State.View(held).Version})
	if err != nil {
		return err
	}
	fetched, ok := answer.(*ctframe.FetchReply)
	if !ok {
		return nil
	}
	return u.applyDelta(held, fetched.Delta)
}
