package ctholding

import (
	"context"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctdrift"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// The times of a meter.
const (
	// idlePositionInterval is the time between two questions for the group's position
	// while nobody asks for young data.
	idlePositionInterval = 2 * time.Second
	// positionRetryDelay is the pause after a question that was not answered.
	positionRetryDelay = 100 * time.Millisecond
)

// measureAge asks the primary's holder for the group's position again and again, so
// that the age of the replica's data is known.
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
		case <-mon.wakeMeter:
		case <-mon.holder.Clock.After(pause):
		}
	}
}

// positionInterval returns how long to wait before the next question.
func (mon *monitor) positionInterval(held *ctlock.Held) time.Duration {
	pause := idlePositionInterval
	mon.holder.members.With(held, func(map[ctid.Member]*member) {
		pause = mon.demand.intervalAt(mon.holder.Clock.Now(), idlePositionInterval)
	})
	return pause
}

// queryPosition asks once and reports whether there was an answer, or nothing to ask:
// a primary's data have no age.
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
	answer, err := peer.call(ctx, group.Primary, &ctframe.Position{Group: mon.group, Interval: mon.positionInterval(&peer.held)})
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

// ServePosition answers a replica's holder that asks for the group's position.
// The answer is empty where this proxy has no valid lease for it.
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
