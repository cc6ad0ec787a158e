package ctholding

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctadmit"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctconfirm"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctbackend"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// logLine is a line of the log that is being written.
type logLine = *zerolog.Event

// run runs the request in hand and reports whether a transaction is open after
// it.
func (x *exchange) run(ctx context.Context, payload []byte) bool {
	relay := &relay{exchange: x, recording: x.open.Key != ""}
	if relay.recording {
		recorded, err := withRecord(x.open)
		if err != nil {
			x.refuse(ctoutcome.ReasonIdempotencyKeyUnusable, 0)
			return false
		}
		payload = recorded
	}
	x.mayCancel(x.request)
	end, err := x.connection.Run(ctx, payload, relay)
	x.mayCancel(ctid.Request{})
	if err != nil {
		x.broken(end, relay)
		return false
	}
	if relay.readOnly {
		x.refuse(ctoutcome.ReasonReadOnly, 0)
		return false
	}
	if end.Transaction != ctbackend.TransactionIdle {
		x.done(ctframe.Done{InTransaction: true, Payload: relay.held})
		x.put(queued{event: ctadmit.RequestDone{Exchange: x.number}})
		return true
	}
	x.acknowledge(ctx, relay)
	return false
}

// broken tells the entry of a request that was not answered.
func (x *exchange) broken(end ctbackend.Result, relay *relay) {
	reason := ctoutcome.ReasonConnectionLost
	if relay.failed != ctoutcome.ReasonNone {
		reason = relay.failed
	}
	x.put(failed{})
	if !end.Sent {
		x.refuse(reason, 0)
		return
	}
	x.lost(reason)
}

func (x *exchange) lost(reason ctoutcome.Reason) {
	x.log("lost", string(reason)).Send()
	_ = x.way.Write(&ctframe.OutcomeUnknown{Request: x.request, Reason: reason})
}

// acknowledge passes the end of an answer on once it may stand: at once for a
// replica's, and after confirmation, with the lease checked again, for a
// primary's.
func (x *exchange) acknowledge(ctx context.Context, relay *relay) {
	if x.open.Term == 0 {
		x.done(ctframe.Done{Point: x.applied, Payload: relay.held})
		return
	}
	status, err := x.connection.Status(ctx)
	if err != nil {
		x.lost(ctoutcome.ReasonConnectionLost)
		return
	}
	if status.Role != ctserver.RolePrimary || status.Received.Term != x.open.Term {
		x.lost(ctoutcome.ReasonLeaseLost)
		return
	}
	if reason := x.confirm(status.Received); reason != ctoutcome.ReasonNone {
		x.lost(reason)
		return
	}
	h := x.holding
	if !h.State.HasLease(&x.held, x.open.Group, x.open.Term, h.Clock.Now()) {
		x.lost(ctoutcome.ReasonLeaseLost)
		return
	}
	x.done(ctframe.Done{Point: status.Received, Duplicate: relay.before, Payload: relay.held})
}

// confirm waits for the confirmation of the point.
func (x *exchange) confirm(point ctposition.Point) ctoutcome.Reason {
	h := x.holding
	view := h.State.View(&x.held)
	began := h.Clock.Now()
	limit := view.Config.Document.EffectiveSettings(x.open.Group, began).Failovers.ConfirmTimeout
	x.put(committed{
		exchange: x,
		term:     point.Term,
		write: ctconfirm.Write{
			Key:      ctconfirm.Key(x.number),
			Position: point.Position,
			Deadline: began.Add(limit.Or(ctconfig.DefaultConfirmTimeout)),
		},
	})
	switch o := (<-x.orders).(type) {
	case release:
		h.Metrics.ConfirmSeconds.Observe(h.Clock.Now().Sub(began).Seconds())
		return ctoutcome.ReasonNone
	case doubt:
		return o.reason
	}
	return ctoutcome.ReasonUnconfirmed
}

func (x *exchange) done(done ctframe.Done) {
	done.Request = x.request
	done.Hint = x.hint()
	_ = x.way.Write(&done)
}
