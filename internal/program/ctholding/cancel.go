package ctholding

import (
	"context"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// cancelTimeout bounds sending a cancel request to the backend server.
const cancelTimeout = 2 * time.Second

// ServeCancel cancels a request that runs on a held member. It does nothing if
// the request has ended already.
func (h *Holder) ServeCancel(held *ctlock.Held, cancel *ctframe.Cancel) {
	var cancelBackend func(context.Context) error
	h.members.With(held, func(members map[ctid.Member]*member) {
		m, ok := members[cancel.Member]
		if !ok {
			return
		}
		for _, x := range m.exchanges {
			if x.cancellableRequest == cancel.Request {
				cancelBackend = x.cancel
				x.cancelSent = true
			}
		}
	})
	if cancelBackend == nil {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	if err := cancelBackend(ctx); err != nil {
		h.Logger.Info().Str("event", "cancel_failed").Str("error", err.Error()).Send()
	}
}

// setCancellable sets the request that ServeCancel may cancel over the
// exchange's connection. The zero request stands for none.
func (x *exchange) setCancellable(request ctid.Request) {
	x.holder.members.With(&x.held, func(map[ctid.Member]*member) {
		x.cancellableRequest = request
		x.cancel = x.connection.Cancel
	})
}

// wasCancelled reports whether a cancel request was sent for the exchange's connection. The
// backend server may act on it at any later time.
func (x *exchange) wasCancelled() bool {
	cancelled := false
	x.holder.members.With(&x.held, func(map[ctid.Member]*member) { cancelled = x.cancelSent })
	return cancelled
}
