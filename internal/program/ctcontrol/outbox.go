package ctcontrol

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

const (
	// outboxSize is how many messages to a peer may be queued. More are dropped, as a
	// network may drop them.
	outboxSize = 64
	// reopenDelay is the pause after an attempt to reach a peer has failed.
	reopenDelay = 20 * time.Millisecond
	// openTimeout bounds the opening of a stream to a peer. A VM that is still powered
	// off does not answer, and a lost first packet is sent again only after a second. A
	// new attempt reaches the VM sooner once it is up.
	openTimeout = 120 * time.Millisecond
	// slowOpenTimeout replaces openTimeout in one of attemptsPerSlowOpen attempts, so
	// that a peer can also be reached over a slow network.
	slowOpenTimeout     = 900 * time.Millisecond
	attemptsPerSlowOpen = 5
	// maxOutboxes bounds the outboxes, of which control processes that are gone leave some.
	maxOutboxes = 64
)

// outbox holds the messages to one peer that a goroutine delivers.
type outbox struct {
	peer   PeerAddress
	frames chan *ctframe.Quorum
	// incarnation is the latest one of the peer that was heard from, and usedAt is when a message
	// was last put in. Only the worker uses them.
	incarnation ctid.Incarnation
	usedAt      time.Time
	// close ends the delivery and drops the messages that are left.
	close context.CancelFunc
}

// send puts a message into the peer's outbox, or drops it if that is full or the peer's
// address is unknown.
func (r *Replica) send(e ctquorum.Send) {
	o, ok := r.outboxes[e.To.Name]
	if !ok {
		if o, ok = r.openResolvedOutbox(e.To.Name); !ok {
			return
		}
	}
	o.usedAt = r.clock.Now()
	select {
	case o.frames <- ctframe.NewQuorum(r.self, e.To, e.Message):
	default:
	}
}

// openOutbox creates an outbox and starts the goroutine that delivers its messages.
func (r *Replica) openOutbox(peer PeerAddress) *outbox {
	ctx, cancel := context.WithCancel(r.ctx)
	o := &outbox{peer: peer, frames: make(chan *ctframe.Quorum, outboxSize), close: cancel}
	r.outboxes[peer.Name] = o
	go r.deliver(ctx, peer, o.frames)
	return o
}

// renewOutbox replaces the outbox to a peer that is heard from under a later incarnation than
// before. The open stream may lead to the process that lost its disk, and TCP takes seconds to
// give it up if that process's VM lost power. Only the worker calls it.
func (r *Replica) renewOutbox(from ctquorum.Peer) {
	o, ok := r.outboxes[from.Name]
	if !ok || from.Incarnation <= o.incarnation {
		return
	}
	o.close()
	r.openOutbox(o.peer).incarnation = from.Incarnation
}

// openResolvedOutbox creates an outbox to a process that is not among the peers, if its
// address can be resolved. Only the worker calls it.
func (r *Replica) openResolvedOutbox(name ctid.Control) (*outbox, bool) {
	if r.resolve == nil {
		return nil, false
	}
	address, ok := r.resolve(name)
	if !ok {
		return nil, false
	}
	if len(r.outboxes) >= maxOutboxes {
		r.closeIdlestOutbox()
	}
	return r.openOutbox(PeerAddress{Name: name, Address: address}), true
}

// closeIdlestOutbox closes the outbox that was not used for the longest time.
func (r *Replica) closeIdlestOutbox() {
	idlest := slices.MinFunc(slices.Collect(maps.Values(r.outboxes)), func(a, b *outbox) int {
		return a.usedAt.Compare(b.usedAt)
	})
	idlest.close()
	delete(r.outboxes, idlest.peer.Name)
}

// deliver sends the messages of an outbox until ctx ends. It opens the stream again after
// a failure, which loses the message that was to be sent.
func (r *Replica) deliver(ctx context.Context, peer PeerAddress, frames <-chan *ctframe.Quorum) {
	var stream ctframe.Stream
	defer func() {
		if stream != nil {
			stream.Close()
		}
	}()
	for attempts := 1; ; {
		var frame *ctframe.Quorum
		select {
		case <-ctx.Done():
			return
		case frame = <-frames:
		}
		if stream == nil {
			if stream = r.dial(ctx, peer, attempts); stream == nil {
				attempts++
				continue
			}
			attempts = 1
		}
		if err := stream.Write(frame); err != nil {
			r.links.setClosed(peer.Name, err)
			stream.Close()
			stream = nil
		}
	}
}

// dial tries to open a stream to a peer. It returns nil after a failure and a delay.
// attempts counts those since the last success, from 1.
func (r *Replica) dial(ctx context.Context, peer PeerAddress, attempts int) ctframe.Stream {
	timeout := openTimeout
	if attempts%attemptsPerSlowOpen == 0 {
		timeout = slowOpenTimeout
	}
	openCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stream, err := r.transport.Open(openCtx, peer.Address)
	if err == nil {
		r.links.setOpen(peer.Name)
		r.metrics.PeerStreams.WithLabelValues("opened").Inc()
		return stream
	}
	r.links.setClosed(peer.Name, err)
	r.metrics.PeerStreams.WithLabelValues("failed").Inc()
	select {
	case <-ctx.Done():
	case <-r.clock.After(reopenDelay):
	}
	return nil
}
