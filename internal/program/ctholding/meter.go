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
	// markInterval is the time between two questions for the group's position
	// while nobody asks for young data.
	markInterval = 2 * time.Second
	// markRetry is the pause after a question that was not answered.
	markRetry = 100 * time.Millisecond
)

// meter asks the primary's holder for the group's position again and again, so
// that the age of the replica's data is known.
func (w *watch) meter() {
	peer := &peerWay{holding: w.holding}
	defer peer.close()
	for w.watching.Err() == nil {
		pause := markRetry
		if w.markOnce(peer) {
			pause = w.markPause(&peer.held)
		}
		select {
		case <-w.watching.Done():
		case <-w.wakeMeter:
		case <-w.holding.Clock.After(pause):
		}
	}
}

// markPause returns how long to wait before the next question.
func (w *watch) markPause(held *ctlock.Held) time.Duration {
	pause := markInterval
	w.holding.members.With(held, func(map[ctid.Member]*member) {
		pause = w.demand.interval(w.holding.Clock.Now(), markInterval)
	})
	return pause
}

// markOnce asks once and reports whether there was an answer, or nothing to ask:
// a primary's data have no age.
func (w *watch) markOnce(peer *peerWay) bool {
	group, ok := w.holding.State.View(&peer.held).Groups[w.group]
	if !ok || group.Primary == "" {
		return false
	}
	if group.Primary == w.name {
		return true
	}
	ctx, cancel := context.WithTimeout(w.watching, peerTime)
	defer cancel()
	asked := w.holding.Clock.Now()
	answer, err := peer.ask(ctx, group.Primary, &ctframe.Position{Group: w.group, Interval: w.markPause(&peer.held)})
	if err != nil {
		return false
	}
	at, ok := answer.(*ctframe.PositionReply)
	if !ok || at.Point.IsZero() {
		return false
	}
	w.put(marked{asked: asked.Add(-ctdrift.UpperBound(at.SampleAge)), point: at.Point})
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
	h.members.With(held, func(rows map[ctid.Member]*member) {
		m, ok := rows[group.Primary]
		if !ok || m.status.Received.Term != group.Term {
			return
		}
		m.sampleFor(now, position.Interval)
		answer.Point = m.status.Received
		answer.SampleAge = now.Sub(m.sampledAt)
	})
	return answer
}
