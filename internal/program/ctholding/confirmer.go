package ctholding

import (
	"context"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctwatch"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// The times of the talk between holders.
const (
	// awaitTime bounds one wait for a replica.
	awaitTime = time.Second
	// peerTime bounds one exchange of frames with a peer, beyond a wait.
	peerTime = time.Second
	// peerPause is the pause after a peer could not be reached.
	peerPause = 20 * time.Millisecond
)

// needConfirmation wakes a confirmer for each other member of the group. It is
// called while the table of members is locked.
func (m *member) needConfirmation(members []ctid.Member) {
	for _, name := range members {
		if name == m.name {
			continue
		}
		wake, ok := m.confirmers[name]
		if !ok {
			wake = make(chan struct{}, 1)
			m.confirmers[name] = wake
			go m.confirm(name, wake)
		}
		wakeUp(wake)
	}
}

// confirm asks a replica's holder up to which point the replica has received
// the log, whenever a commit waits for that.
func (m *member) confirm(replica ctid.Member, wake <-chan struct{}) {
	peer := &peerWay{holding: m.holding}
	defer peer.close()
	for {
		select {
		case <-m.serving.Done():
			return
		case <-wake:
		}
		for m.serving.Err() == nil {
			point, waits := m.highest(&peer.held)
			if !waits || !m.confirmOnce(peer, replica, point) {
				break
			}
		}
	}
}

// confirmOnce asks once and reports whether to go on asking.
func (m *member) confirmOnce(peer *peerWay, replica ctid.Member, point ctposition.Point) bool {
	ctx, cancel := context.WithTimeout(m.serving, awaitTime+peerTime)
	defer cancel()
	answer, err := peer.ask(ctx, replica, &ctframe.AwaitReceived{Member: replica, Point: point})
	received, ok := answer.(*ctframe.Received)
	if err != nil || !ok || received.Point.IsZero() {
		select {
		case <-m.serving.Done():
		case <-m.holding.Clock.After(peerPause):
		}
		return true
	}
	m.put(confirmed{replica: replica, point: received.Point})
	return received.Point.Term != point.Term || received.Point.Position < point.Position
}

// highest returns the highest point that a commit waits for.
func (m *member) highest(held *ctlock.Held) (ctposition.Point, bool) {
	var point ctposition.Point
	waits := false
	m.holding.members.With(held, func(map[ctid.Member]*member) {
		point, waits = m.board.HighestPending()
	})
	return point, waits
}

// ServeAwait answers a primary's holder that waits for a replica of this one.
func (h *Holder) ServeAwait(await *ctframe.AwaitReceived) *ctframe.Received {
	w := waiterChannel(make(chan order, 1))
	h.put(await.Member, awaited{
		waiter: w,
		entry:  ctwatch.Waiter{Point: await.Point, ReceivedSuffices: true, Deadline: h.Clock.Now().Add(awaitTime)},
	})
	answer := &ctframe.Received{Member: await.Member}
	if o, ok := (<-w).(reached); ok {
		answer.Point = o.status.Received
	}
	return answer
}

// waiterChannel is a waiter that passes its one order on.
type waiterChannel chan order

func (w waiterChannel) tell(order order) {
	w <- order
}
