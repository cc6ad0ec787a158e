package ctholding

import (
	"context"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// cancelTime bounds the passing on of a cancel.
const cancelTime = 2 * time.Second

// ServeCancel cancels a request that runs on a held member. One that has ended
// meanwhile is passed over.
func (h *Holder) ServeCancel(held *ctlock.Held, cancel *ctframe.Cancel) {
	var cancelBackend func(context.Context) error
	h.members.With(held, func(rows map[ctid.Member]*member) {
		m, ok := rows[cancel.Member]
		if !ok {
			return
		}
		for _, x := range m.exchanges {
			if x.cancellable == cancel.Request {
				cancelBackend = x.cancel
			}
		}
	})
	if cancelBackend == nil {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), cancelTime)
	defer stop()
	if err := cancelBackend(ctx); err != nil {
		h.Logger.Info().Str("event", "cancel_failed").Str("error", err.Error()).Send()
	}
}

// mayCancel makes the request in hand one that a cancel reaches, or none.
func (x *exchange) mayCancel(request ctid.Request) {
	x.holding.members.With(&x.held, func(map[ctid.Member]*member) {
		x.cancellable = request
		x.cancel = x.connection.Cancel
	})
}
