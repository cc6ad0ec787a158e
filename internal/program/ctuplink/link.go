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

// controlLink is a way to the leader of control, which is opened again when it fails.
type controlLink struct {
	uplink *Uplink
	stream ctframe.Stream
	// controlIndex is the place in the list of control's addresses to try next.
	controlIndex int
	// address is the address asked last, and lost since when reports have failed.
	address   netip.AddrPort
	lostSince time.Time
	// viaRelay reports that the address is that of another proxy, which passes on
	// what it is sent, and since when.
	viaRelay      bool
	viaRelaySince time.Time
	// relayIndex is the place in the list of relays to try next.
	relayIndex int
	// attempts counts the ways that could not be opened in a row.
	attempts int
	// leaderAddress is the address that control told, where it did.
	leaderAddress *netip.AddrPort
}

// call sends a frame and returns the answer.
func (l *controlLink) call(ctx context.Context, frame ctframe.Frame) (ctframe.Frame, error) {
	if l.viaRelay && l.stream != nil && l.uplink.Clock.Now().Sub(l.viaRelaySince) > directRetryInterval {
		l.close()
		l.attempts = 0
	}
	if l.stream == nil {
		l.attempts++
		l.address = l.nextAddress()
		openCtx, cancel := context.WithTimeout(ctx, l.nextOpenTimeout())
		stream, err := l.uplink.Transport.Open(openCtx, l.address)
		cancel()
		if err != nil {
			return nil, err
		}
		l.stream = stream
	}
	answer, err := ctframe.Call(ctx, l.stream, frame)
	if err != nil {
		l.close()
	}
	return answer, err
}

// recordAnswer notes that control answered.
func (l *controlLink) recordAnswer() {
	l.attempts = 0
}

// nextRetryDelay returns the pause before the next try: longer, once many have failed.
func (l *controlLink) nextRetryDelay(heartbeat time.Duration) time.Duration {
	delay := retryDelay
	if l.attempts > longDelayAfter {
		delay = longRetryDelay
	}
	return min(delay, heartbeat)
}

// The pause after many tries in a row that failed.
const (
	longDelayAfter = 12
	longRetryDelay = 100 * time.Millisecond
)

// nextOpenTimeout returns how long the opening of a way may take this time.
func (l *controlLink) nextOpenTimeout() time.Duration {
	if l.attempts%longOpenEvery == 0 && !l.viaRelay {
		return longOpenTimeout
	}
	return openTimeout
}

// nextAddress returns the address to try: the leader's, or the next of the list.
func (l *controlLink) nextAddress() netip.AddrPort {
	l.viaRelay = false
	addresses := l.uplink.controlAddresses()
	if address, ok := l.nextRelay(len(addresses)); ok {
		return address
	}
	if l.leaderAddress != nil {
		leader := *l.leaderAddress
		l.leaderAddress = nil
		return leader
	}
	address := addresses[l.controlIndex%len(addresses)]
	l.controlIndex++
	return address
}

// nextRelay returns another proxy to go through, once every control process was
// tried in vain; one in relayEvery tries goes to control itself.
func (l *controlLink) nextRelay(controlCount int) (netip.AddrPort, bool) {
	if l.uplink.Groups == nil || l.attempts <= controlCount || l.attempts%directAttemptEvery == 0 {
		return netip.AddrPort{}, false
	}
	var held ctlock.Held
	relays := l.uplink.relayAddresses(&held)
	if len(relays) == 0 {
		return netip.AddrPort{}, false
	}
	l.viaRelay, l.viaRelaySince = true, l.uplink.Clock.Now()
	l.relayIndex++
	return relays[l.relayIndex%len(relays)], true
}

// directAttemptEvery is one in how many tries goes to control itself, while relays are
// tried.
const directAttemptEvery = 4

// redirect goes to the leader that another control process named, or to the next
// process where it named none.
func (l *controlLink) redirect(reply *ctview.Reply) error {
	if !reply.NotLeader {
		return nil
	}
	l.close()
	if !l.viaRelay {
		l.leaderAddress = reply.LeaderAddress
	}
	return cterror.New(cterror.Unavailable, "the control process does not lead", "ask another one")
}

func (l *controlLink) close() {
	if l.stream != nil {
		l.stream.Close()
		l.stream = nil
	}
}
