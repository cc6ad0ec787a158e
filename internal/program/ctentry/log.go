package ctentry

import (
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
)

// logDecisions logs the effects that are decisions: routes, outcomes and disconnects.
func (e *Entry) logDecisions(c *callerConn, effects []ctsession.Effect) {
	for _, effect := range effects {
		switch f := effect.(type) {
		case ctsession.Send:
			e.logRoute(c, f)
		case ctsession.Finish:
			e.logOutcome(f)
		case ctsession.Disconnect:
			ctlog.Decision(&e.Logger, "hangup").
				Stringer("request", f.Request).
				Str("why", string(f.Reason)).
				Str("outcome", ctoutcome.NameOf(f.Outcome)).
				Str("reason", string(ctoutcome.ReasonOf(f.Outcome))).
				Send()
		}
	}
}

func (e *Entry) logRoute(c *callerConn, send ctsession.Send) {
	if send.SameStream {
		return
	}
	ctlog.Decision(&e.Logger, "route").
		Stringer("request", send.Request).
		Str("group", string(c.session.Group)).
		Str("caller", string(c.session.Caller)).
		Str("member", string(send.Route.Member)).
		Str("holder", string(send.Route.Holder.Name)).
		Str("to", string(send.Route.Role)).
		Stringer("need", send.MinPoint).
		Str("why", string(send.Route.Reason)).
		Send()
}

func (e *Entry) logOutcome(finish ctsession.Finish) {
	line := ctlog.Decision(&e.Logger, "outcome").
		Stringer("request", finish.Request).
		Str("outcome", ctoutcome.NameOf(finish.Outcome))
	if ran, ok := finish.Outcome.(ctoutcome.Ran); ok {
		line.Stringer("point", ran.Point)
	}
	if reason := ctoutcome.ReasonOf(finish.Outcome); reason != ctoutcome.ReasonNone {
		line.Str("why", string(reason))
	}
	line.Send()
}
