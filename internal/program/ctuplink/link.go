package ctuplink

import (
	"context"
	"net/netip"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// link is a way to the leader of control, which is opened again when it fails.
type link struct {
	uplink *Uplink
	way    ctframe.Stream
	// next is the place in the list of control's addresses to try next.
	next int
	// asked is the address asked last, and lost since when reports have failed.
	asked netip.AddrPort
	lost  time.Time
	// relayed reports that the address is that of another proxy, which passes on
	// what it is sent, and since when.
	relayed      bool
	relayedSince time.Time
	// relay is the place in the list of relays to try next.
	relay int
	// tries counts the ways that could not be opened in a row.
	tries int
	// leader is the address that control told, where it did.
	leader *netip.AddrPort
}

// ask sends a frame and returns the answer.
func (l *link) ask(ctx context.Context, frame ctframe.Frame) (ctframe.Frame, error) {
	if l.relayed && l.way != nil && l.uplink.Clock.Now().Sub(l.relayedSince) > directTime {
		l.close()
		l.tries = 0
	}
	if l.way == nil {
		l.tries++
		l.asked = l.address()
		opening, cancel := context.WithTimeout(ctx, l.patience())
		way, err := l.uplink.Transport.Open(opening, l.asked)
		cancel()
		if err != nil {
			return nil, err
		}
		l.way = way
	}
	answer, err := ctframe.Call(ctx, l.way, frame)
	if err != nil {
		l.close()
	}
	return answer, err
}

// answered notes that control answered.
func (l *link) answered() {
	l.tries = 0
}

// pause returns the pause before the next try: longer, once many have failed.
func (l *link) pause(heartbeat time.Duration) time.Duration {
	pause := retryPause
	if l.tries > manyTries {
		pause = manyPause
	}
	return min(pause, heartbeat)
}

// The pause after many tries in a row that failed.
const (
	manyTries = 12
	manyPause = 100 * time.Millisecond
)

// patience returns how long the opening of a way may take this time.
func (l *link) patience() time.Duration {
	if l.tries%patientEvery == 0 && !l.relayed {
		return patientTime
	}
	return openTime
}

// address returns the address to try: the leader's, or the next of the list.
func (l *link) address() netip.AddrPort {
	l.relayed = false
	known := l.uplink.known()
	if address, ok := l.takeRelay(len(known)); ok {
		return address
	}
	if l.leader != nil {
		leader := *l.leader
		l.leader = nil
		return leader
	}
	address := known[l.next%len(known)]
	l.next++
	return address
}

// takeRelay returns another proxy to go through, once every control process was
// tried in vain; one in relayEvery tries goes to control itself.
func (l *link) takeRelay(controls int) (netip.AddrPort, bool) {
	if l.uplink.Groups == nil || l.tries <= controls || l.tries%relayEvery == 0 {
		return netip.AddrPort{}, false
	}
	var held ctlock.Held
	relays := l.uplink.relays(&held)
	if len(relays) == 0 {
		return netip.AddrPort{}, false
	}
	l.relayed, l.relayedSince = true, l.uplink.Clock.Now()
	l.relay++
	return relays[l.relay%len(relays)], true
}

// relayEvery is one in how many tries goes to control itself, while relays are
// tried.
const relayEvery = 4

// redirect goes to the leader that another control process named, or to the next
// process where it named none.
func (l *link) redirect(reply *ctview.Reply) error {
	if !reply.NotLeader {
		return nil
	}
	l.close()
	if !l.relayed {
		l.leader = reply.LeaderAddress
	}
	return cterror.New(cterror.Unavailable, "the control process does not lead", "ask another one")
}

func (l *link) close() {
	if l.way != nil {
		l.way.Close()
		l.way = nil
	}
}
