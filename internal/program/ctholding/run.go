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

// logLine is a log line under construction; Send writes it.
type logLine = *zerolog.Event

// run runs the current request, sends its answer to the entry proxy, and reports
// whether a transaction is open afterwards.
func (x *exchange) run(ctx context.Context, payload []byte) bool {
	relay := &relay{exchange: x, awaitingRecord: x.first.Key != ""}
	if relay.awaitingRecord {
		withRecord, err := prependRecord(x.first)
		if err != nil {
			x.sendRefused(ctoutcome.ReasonIdempotencyKeyUnusable, 0)
			return false
		}
		payload = withRecord
	}
	x.setCancellable(x.request)
	runResult, err := x.connection.Run(ctx, payload, relay)
	x.setCancellable(ctid.Request{})
	if err != nil {
		x.handleRunError(runResult, relay)
		return false
	}
	if relay.writeRefused {
		x.sendRefused(ctoutcome.ReasonReadOnly, 0)
		return false
	}
	if runResult.Transaction != ctbackend.TransactionIdle {
		if !x.confirmAnswer(ctx) {
			return false
		}
		x.sendDone(ctframe.Done{InTransaction: true, Payload: relay.withheld})
		x.enqueue(queueEvent{event: ctadmit.RequestDone{Exchange: x.number}})
		return true
	}
	x.acknowledge(ctx, relay)
	return false
}

// handleRunError reports to the entry proxy that a request was not answered in full: as
// refused if nothing of it was sent to the member, else with an unknown outcome.
func (x *exchange) handleRunError(runResult ctbackend.Result, relay *relay) {
	reason := ctoutcome.ReasonConnectionLost
	if relay.failure != ctoutcome.ReasonNone {
		reason = relay.failure
	}
	x.enqueue(connectionFailed{})
	if !runResult.Sent {
		x.sendRefused(reason, 0)
		return
	}
	x.sendOutcomeUnknown(reason)
}

// sendOutcomeUnknown logs the unknown outcome of the current request and sends it
// to the entry proxy.
func (x *exchange) sendOutcomeUnknown(reason ctoutcome.Reason) {
	x.log("lost", string(reason)).Send()
	_ = x.stream.Write(&ctframe.OutcomeUnknown{Request: x.request, Reason: reason})
}

// confirmAnswer makes sure that the answers that the member has sent are those to the request
// and the statements behind it. If they aren't, it reports the outcome as unknown and returns
// false.
func (x *exchange) confirmAnswer(ctx context.Context) bool {
	if err := x.connection.Confirm(ctx); err != nil {
		x.sendOutcomeUnknown(ctoutcome.ReasonConnectionLost)
		return false
	}
	return true
}

// acknowledge sends the withheld end of an answer once it is confirmed, for a primary by the
// status behind it. A primary's is sent after its writes were confirmed by a majority, too, if
// the lease is still valid then.
func (x *exchange) acknowledge(ctx context.Context, relay *relay) {
	if x.first.Term == 0 {
		if x.confirmAnswer(ctx) {
			x.sendDone(ctframe.Done{Point: x.applied, Payload: relay.withheld})
		}
		return
	}
	status, err := x.connection.Status(ctx)
	if err != nil {
		x.sendOutcomeUnknown(ctoutcome.ReasonConnectionLost)
		return
	}
	if status.Role != ctserver.RolePrimary || status.Received.Term != x.first.Term {
		x.sendOutcomeUnknown(ctoutcome.ReasonLeaseLost)
		return
	}
	if reason := x.awaitConfirmation(status.Received); reason != ctoutcome.ReasonNone {
		x.sendOutcomeUnknown(reason)
		return
	}
	h := x.holder
	if !h.State.HasLease(&x.held, x.first.Group, x.first.Term, h.Clock.Now()) {
		x.sendOutcomeUnknown(ctoutcome.ReasonLeaseLost)
		return
	}
	x.sendDone(ctframe.Done{Point: status.Received, Duplicate: relay.duplicate, Payload: relay.withheld})
}

// awaitConfirmation waits until a majority of the group has received the point. It
// returns ReasonNone then, or the reason why the outcome is unknown.
func (x *exchange) awaitConfirmation(point ctposition.Point) ctoutcome.Reason {
	h := x.holder
	view := h.State.View(&x.held)
	startedAt := h.Clock.Now()
	timeout := view.Config.Document.EffectiveSettings(x.first.Group, startedAt).Failovers.ConfirmTimeout
	x.enqueue(committed{
		exchange: x,
		term:     point.Term,
		write: ctconfirm.Write{
			Key:      ctconfirm.Key(x.number),
			Position: point.Position,
			Deadline: startedAt.Add(timeout.Or(ctconfig.DefaultConfirmTimeout)),
		},
	})
	switch r := (<-x.results).(type) {
	case writeConfirmed:
		h.Metrics.ConfirmSeconds.Observe(h.Clock.Now().Sub(startedAt).Seconds())
		return ctoutcome.ReasonNone
	case outcomeUnknown:
		return r.reason
	}
	return ctoutcome.ReasonUnconfirmed
}

// sendDone completes the frame and sends it to the entry proxy.
func (x *exchange) sendDone(done ctframe.Done) {
	done.Request = x.request
	done.Hint = x.hint()
	_ = x.stream.Write(&done)
}
