package ctholding

import (
	"context"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctdrift"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// The rate of the queries for the group's position.
const (
	// idlePositionInterval is the time between two queries while no read limits
	// the age of its data.
	idlePositionInterval = 2 * time.Second
	// positionRetryDelay is the pause after a query without an answer.
	positionRetryDelay = 100 * time.Millisecond
)

// measureAge queries the primary's holder for the group's position until the
// monitor stops. The age of the replica's data is derived from the answers.
func (mon *monitor) measureAge() {
	peer := &peerStream{holder: mon.holder}
	defer peer.close()
	for mon.monitorCtx.Err() == nil {
		pause := positionRetryDelay
		if mon.queryPosition(peer) {
			pause = mon.positionInterval(&peer.held)
		}
		select {
		case <-mon.monitorCtx.Done():
		case <-mon.wakeAgeMeter:
		case <-mon.holder.Clock.After(pause):
		}
	}
}

// positionInterval returns the time until the next query for the position.
func (mon *monitor) positionInterval(held *ctlock.Held) time.Duration {
	pause := idlePositionInterval
	mon.holder.members.With(held, func(map[ctid.Member]*member) {
		pause = mon.demand.intervalAt(mon.holder.Clock.Now(), idlePositionInterval)
	})
	return pause
}

// queryPosition queries the position once and reports whether it was answered. It
// also reports true for a primary, whose data have no age and need no query.
func (mon *monitor) queryPosition(peer *peerStream) bool {
	group, ok := mon.holder.State.View(&peer.held).Groups[mon.group]
	if !ok || group.Primary == "" {
		return false
	}
	if group.Primary == mon.name {
		return true
	}
	ctx, cancel := context.WithTimeout(mon.monitorCtx, peerTimeout)
	defer cancel()
	requestedAt := mon.holder.Clock.Now()
	answer, err := peer.call(ctx, group.Primary, &ctframe.Position{
		Group:    mon.group,
		Interval: mon.positionInterval(&peer.held),
	})
	if err != nil {
		return false
	}
	reply, ok := answer.(*ctframe.PositionReply)
	if !ok || reply.Point.IsZero() {
		return false
	}
	mon.enqueue(positionReceived{requestedAt: requestedAt.Add(-ctdrift.UpperBound(reply.SampleAge)), point: reply.Point})
	return true
}

// ServePosition answers a replica's holder that queries the group's position. The
// point is zero if this proxy has no valid lease for the group, or no status of
// its primary in the current term.
func (h *Holder) ServePosition(held *ctlock.Held, position *ctframe.Position) *ctframe.PositionReply {
	answer := &ctframe.PositionReply{Group: position.Group}
	now := h.Clock.Now()
	group := h.State.View(held).Groups[position.Group]
	if !h.State.HasLease(held, position.Group, group.Term, now) {
		return answer
	}
	h.members.With(held, func(members map[ctid.Member]*member) {
		m, ok := members[group.Primary]
		if !ok || m.status.Received.Term != group.Term {
			return
		}
		m.requestSamples(now, position.Interval)
		answer.Point = m.status.Received
		answer.SampleAge = now.Sub(m.sampledAt)
	})
	return answer
}
