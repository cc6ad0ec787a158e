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

// Bounds on the calls between holders.
const (
	// awaitTimeout bounds how long a replica's holder waits for the replica to
	// receive a point.
	awaitTimeout = time.Second
	// peerTimeout bounds one call to a peer, in addition to awaitTimeout where
	// the peer waits.
	peerTimeout = time.Second
	// peerRetryDelay is the pause after a peer returned no usable answer.
	peerRetryDelay = 20 * time.Millisecond
)

// requestConfirmations starts or wakes a confirmer for each other member of the
// group. The caller has locked the table of members.
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

// runConfirmer runs until memberCtx ends. While commits wait for confirmation, it
// queries a replica's holder for the point up to which the replica has received
// the log.
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

// queryReceived sends one query and reports whether another one is needed. After
// a failed query it returns once peerRetryDelay has passed.
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

// highestPending returns the highest point that waits for confirmation, and false
// if no commit waits.
func (m *member) highestPending(held *ctlock.Held) (ctposition.Point, bool) {
	var point ctposition.Point
	pending := false
	m.holder.members.With(held, func(map[ctid.Member]*member) {
		point, pending = m.confirmations.HighestPending()
	})
	return point, pending
}

// ServeAwaitReceived answers a primary's holder. It blocks until the replica has received
// the point or awaitTimeout has passed, and returns the point that the replica has
// received by then. The point is zero if this proxy does not hold the replica.
func (h *Holder) ServeAwaitReceived(await *ctframe.AwaitReceived) *ctframe.Received {
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

// resultChannel is a waiter that receives a single result through a channel.
type resultChannel chan result

func (w resultChannel) deliver(r result) {
	w <- r
}
