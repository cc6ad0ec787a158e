package ctuplink

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

const (
	// watchOpenTimeout bounds the opening of a stream for watches.
	watchOpenTimeout = 900 * time.Millisecond
	// watchRetryDelay is the pause after a watch has failed. maxWatchRetryDelay is its
	// limit after several have failed in a row.
	watchRetryDelay    = 30 * time.Millisecond
	maxWatchRetryDelay = 480 * time.Millisecond
)

// watcher is the stream on which a proxy waits for newer views. It goes to the process
// that answers the reports. One goroutine uses it.
type watcher struct {
	uplink *Uplink
	// stream is nil while none is open, and address is what it is connected to.
	stream  ctframe.Stream
	address netip.AddrPort
	// delay is the pause after the next failure; zero while watches are answered.
	delay time.Duration
}

// watchViews waits for newer views and applies them until ctx ends.
func (u *Uplink) watchViews(ctx context.Context) {
	w := &watcher{uplink: u}
	defer w.close()
	var held ctlock.Held
	for ctx.Err() == nil {
		current := u.route.Get(&held)
		if !current.address.IsValid() {
			w.close()
			u.fetchFromPeers(ctx, &held)
			w.awaitRoute(ctx)
			continue
		}
		err := w.watchOnce(ctx, current.address, &held)
		if err == nil || w.pauseAfterDeferral(ctx, err) {
			w.delay = 0
			continue
		}
		w.close()
		u.TriggerReport()
		w.pause(ctx)
	}
}

// awaitRoute waits until a report is answered, but not longer than maxWatchRetryDelay.
func (w *watcher) awaitRoute(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-w.uplink.routeFound:
	case <-w.uplink.Clock.After(maxWatchRetryDelay):
	}
}

// pause waits after a failure, for a random time whose limit grows with each in a row.
func (w *watcher) pause(ctx context.Context) {
	w.delay = min(max(2*w.delay, watchRetryDelay), maxWatchRetryDelay)
	w.uplink.pause(ctx, rand.N(w.delay))
}

// watchOnce sends one watch to the process at an address and applies its reply, which
// arrives when there is a newer view or when that process ends the watch.
func (w *watcher) watchOnce(ctx context.Context, address netip.AddrPort, held *ctlock.Held) error {
	ctx, cancel := context.WithTimeout(ctx, w.uplink.watchTimeout())
	defer cancel()
	if err := w.connect(ctx, address); err != nil {
		return err
	}
	answer, err := ctframe.Call(ctx, w.stream, w.uplink.watchRequest(held))
	if err != nil {
		return err
	}
	if retry, ok := answer.(*ctframe.Retry); ok {
		return newDeferredError(retry)
	}
	reply, ok := answer.(*ctframe.ReportReply)
	if !ok || reply.NotLeader {
		return cterror.New(cterror.Unavailable, "the control process can't serve a watch", "use another control process")
	}
	return w.uplink.applyReplyDelta(held, reply)
}

// connect opens a stream to the process at an address, unless one is open.
func (w *watcher) connect(ctx context.Context, address netip.AddrPort) error {
	if w.stream != nil && w.address == address {
		return nil
	}
	w.close()
	ctx, cancel := context.WithTimeout(ctx, watchOpenTimeout)
	defer cancel()
	stream, err := w.uplink.Transport.Open(ctx, address)
	if err != nil {
		return err
	}
	w.stream, w.address = stream, address
	return nil
}

// close closes the stream, if one is open.
func (w *watcher) close() {
	if w.stream != nil {
		w.stream.Close()
		w.stream = nil
	}
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

// applyReplyDelta applies the delta of a reply.
func (u *Uplink) applyReplyDelta(held *ctlock.Held, reply *ctframe.ReportReply) error {
	delta, err := reply.WholeDelta()
	if err != nil {
		return err
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
