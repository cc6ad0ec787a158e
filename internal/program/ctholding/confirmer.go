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
	// awaitTimeout bounds one wait for a replica.
	awaitTimeout = time.Second
	// peerTimeout bounds one exchange of frames with a peer, beyond a wait.
	peerTimeout = time.Second
	// peerRetryDelay is the pause after a peer could not be reached.
	peerRetryDelay = 20 * time.Millisecond
)

// requestConfirmations wakes a confirmer for each other member of the group. It is
// called while the table of members is locked.
func (m *member) requestConfirmations(members []ctid.Member) {
	for _, name := range members {
		if name == m.name {
			continue
		}
		wake, ok := m.confirmers[name]
		if !ok {
			wake = make(chan struct{}, 1)
			m.confirmers[name] = wake
			go m.runConfirmer(name, wake)
		}
		signal(wake)
	}
}

// runConfirmer asks a replica's holder up to which point the replica has received
// the log, whenever a commit waits for that.
func (m *member) runConfirmer(replica ctid.Member, wake <-chan struct{}) {
	peer := &peerStream{holder: m.holder}
	defer peer.close()
	for {
		select {
		case <-m.memberCtx.Done():
			return
		case <-wake:
		}
		for m.memberCtx.Err() == nil {
			point, pending := m.highestPending(&peer.held)
			if !pending || !m.queryReceived(peer, replica, point) {
				break
			}
		}
	}
}

// queryReceived asks once and reports whether to go on asking.
func (m *member) queryReceived(peer *peerStream, replica ctid.Member, point ctposition.Point) bool {
	ctx, cancel := context.WithTimeout(m.memberCtx, awaitTimeout+peerTimeout)
	defer cancel()
	answer, err := peer.call(ctx, replica, &ctframe.AwaitReceived{Member: replica, Point: point})
	received, ok := answer.(*ctframe.Received)
	if err != nil || !ok || received.Point.IsZero() {
		select {
		case <-m.memberCtx.Done():
		case <-m.holder.Clock.After(peerRetryDelay):
		}
		return true
	}
	m.enqueue(replicaReceived{replica: replica, point: received.Point})
	return received.Point.Term != point.Term || received.Point.Position < point.Position
}

// highestPending returns the highest point that a commit waits for.
func (m *member) highestPending(held *ctlock.Held) (ctposition.Point, bool) {
	var point ctposition.Point
	pending := false
	m.holder.members.With(held, func(map[ctid.Member]*member) {
		point, pending = m.confirmations.HighestPending()
	})
	return point, pending
}

// ServeAwait answers a primary's holder that waits for a replica of this one.
func (h *Holder) ServeAwait(await *ctframe.AwaitReceived) *ctframe.Received {
	w := resultChannel(make(chan result, 1))
	h.enqueue(await.Member, waitRequested{
		waiter: w,
		entry:  ctwatch.Waiter{Point: await.Point, ReceivedSuffices: true, Deadline: h.Clock.Now().Add(awaitTimeout)},
	})
	answer := &ctframe.Received{Member: await.Member}
	if r, ok := (<-w).(waitEnded); ok {
		answer.Point = r.status.Received
	}
	return answer
}

// resultChannel is a waiter that passes its one order on.
type resultChannel chan result

func (w resultChannel) deliver(r result) {
	w <- r
}
