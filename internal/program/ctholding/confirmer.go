package ctholding

import (
	"context"
	"net/netip"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctwatch"
	"github.com/cherviltrestle/cherviltrestle/internal/fleet/ctholder"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
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
	// markInterval is the time between two questions for the group's position
	// while nobody asks for young data.
	markInterval = 500 * time.Millisecond
)

// Peers opens ways to other proxies.
type Peers interface {
	Open(ctx context.Context, peer netip.AddrPort) (Way, error)
}

// peerWay is a way to the holder of a member, which is opened again when it
// fails or when the holder changes.
type peerWay struct {
	holding *Holding
	held    ctlock.Held
	address netip.AddrPort
	way     Way
}

// ask sends a frame to the holder of the member and returns its answer.
func (p *peerWay) ask(ctx context.Context, name ctid.Member, frame ctframe.Frame) (ctframe.Frame, error) {
	view := p.holding.State.View(&p.held)
	holder, ok := ctholder.Of(view, name)
	if !ok {
		return nil, cterror.New(cterror.Unavailable, "the member has no holder", "start a proxy in its failure domain")
	}
	if p.way != nil && p.address != holder.Address {
		p.close()
	}
	if p.way == nil {
		way, err := p.holding.Peers.Open(ctx, holder.Address)
		if err != nil {
			return nil, err
		}
		p.way, p.address = way, holder.Address
	}
	answer, err := p.exchange(ctx, frame)
	if err != nil {
		p.close()
	}
	return answer, err
}

func (p *peerWay) exchange(ctx context.Context, frame ctframe.Frame) (ctframe.Frame, error) {
	stop := context.AfterFunc(ctx, p.way.Close)
	defer stop()
	if err := p.way.Write(frame); err != nil {
		return nil, err
	}
	return p.way.Read()
}

func (p *peerWay) close() {
	if p.way != nil {
		p.way.Close()
		p.way = nil
	}
}

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
		select {
		case wake <- struct{}{}:
		default:
		}
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
	answer, err := peer.ask(ctx, replica, &ctframe.Await{Member: replica, Point: point})
	received, ok := answer.(*ctframe.Received)
	if err != nil || !ok || received.Point.Zero() {
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
		point, waits = m.board.Highest()
	})
	return point, waits
}

// ServeAwait answers a primary's holder that waits for a replica of this one.
func (h *Holding) ServeAwait(await *ctframe.Await) *ctframe.Received {
	w := waiterChannel(make(chan order, 1))
	h.put(await.Member, awaited{
		waiter: w,
		entry:  ctwatch.Entry{Point: await.Point, Received: true, Deadline: h.Clock.Now().Add(awaitTime)},
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

// ServePosition answers a replica's holder that asks for the group's position.
// The answer is empty where this proxy has no valid lease for it.
func (h *Holding) ServePosition(held *ctlock.Held, position *ctframe.Position) *ctframe.At {
	answer := &ctframe.At{Group: position.Group}
	now := h.Clock.Now()
	group := h.State.View(held).Groups[position.Group]
	if !h.State.Leased(held, position.Group, group.Term, now) {
		return answer
	}
	h.members.With(held, func(rows map[ctid.Member]*member) {
		m, ok := rows[group.Primary]
		if !ok || m.status.Received.Term != group.Term {
			return
		}
		m.demand.ask(now, position.Every)
		answer.Point = m.status.Received
		answer.Ago = now.Sub(m.sampledAt)
	})
	return answer
}

// meter asks the primary's holder for the group's position again and again, so
// that the age of the replica's data is known.
func (w *watch) meter() {
	peer := &peerWay{holding: w.holding}
	defer peer.close()
	for w.watching.Err() == nil {
		w.markOnce(peer)
		select {
		case <-w.watching.Done():
		case <-w.holding.Clock.After(w.markPause(&peer.held)):
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

func (w *watch) markOnce(peer *peerWay) {
	group, ok := w.holding.State.View(&peer.held).Groups[w.group]
	if !ok || group.Primary == w.name || group.Primary == "" {
		return
	}
	ctx, cancel := context.WithTimeout(w.watching, peerTime)
	defer cancel()
	asked := w.holding.Clock.Now()
	answer, err := peer.ask(ctx, group.Primary, &ctframe.Position{Group: w.group, Every: w.markPause(&peer.held)})
	if err != nil {
		return
	}
	if at, ok := answer.(*ctframe.At); ok && !at.Point.Zero() {
		w.put(marked{asked: asked.Add(-drifted(at.Ago)), point: at.Point})
	}
}

// drifted returns the longest time that may have passed here while another
// process measured d.
func drifted(d time.Duration) time.Duration {
	return d + d/driftFraction
}

// driftFraction bounds how much the rates of two clocks differ: by one part in
// so many.
const driftFraction = 100
