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

// controlLink is a stream to the leader of control, directly or via a relay. A stream
// that fails is replaced at the next call. One goroutine uses a link.
type controlLink struct {
	uplink *Uplink
	// stream is nil while none is open.
	stream ctframe.Stream
	// controlIndex is the index of the control address to try next, modulo the number
	// of addresses.
	controlIndex int
	// address is that of the last attempt to open a stream.
	address netip.AddrPort
	// lostSince is when reports began to fail; zero while they are answered.
	lostSince time.Time
	// viaRelay reports whether address is that of another proxy, which forwards the
	// frames, and viaRelaySince is when that proxy was selected.
	viaRelay      bool
	viaRelaySince time.Time
	// relayIndex is the index of the relay that was tried last, modulo their number.
	relayIndex int
	// attempts counts the attempts to open a stream since control last answered or a
	// relay was given up after directRetryInterval.
	attempts int
	// leaderAddress is the address of the leader that another control process named;
	// nil if there is none or if it has been tried.
	leaderAddress *netip.AddrPort
}

// call sends a frame and returns the answer. It opens a stream if none is open, and
// closes it on an error.
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

// recordAnswer records that control's leader answered.
func (l *controlLink) recordAnswer() {
	l.attempts = 0
}

// nextRetryDelay returns the delay before the next attempt: longer after many failed
// ones, but at most the heartbeat interval.
func (l *controlLink) nextRetryDelay(heartbeat time.Duration) time.Duration {
	delay := retryDelay
	if l.attempts > longDelayAfter {
		delay = longRetryDelay
	}
	return min(delay, heartbeat)
}

// longRetryDelay replaces retryDelay after more than longDelayAfter failed attempts in
// a row.
const (
	longDelayAfter = 12
	longRetryDelay = 100 * time.Millisecond
)

// nextOpenTimeout returns how long the current attempt to open a stream may take.
func (l *controlLink) nextOpenTimeout() time.Duration {
	if l.attempts%attemptsPerSlowOpen == 0 && !l.viaRelay {
		return slowOpenTimeout
	}
	return openTimeout
}

// nextAddress returns the address to try next: that of a relay, that of the leader if
// it is known, or the next one in the list of control's addresses.
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

// nextRelay selects another proxy as a relay and returns its address. It returns false
// if the attempt is to go to control directly: while not all of control's addresses
// have failed, for one in directAttemptEvery attempts after that, without
// Options.Groups, and if the view has no other proxy.
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

// directAttemptEvery makes one in so many attempts go directly to control while the
// others go to relays.
const directAttemptEvery = 4

// redirect returns an error if a reply came from a control process that is not the
// leader. It then closes the stream; the next attempt goes to the leader that the
// process named, or to the next address if it named none.
func (l *controlLink) redirect(reply *ctview.Reply) error {
	if !reply.NotLeader {
		return nil
	}
	l.close()
	if !l.viaRelay {
		l.leaderAddress = reply.LeaderAddress
	}
	return cterror.New(cterror.Unavailable, "the control process is not the leader", "use another control process")
}

// close closes the stream, if one is open. The link can still be used.
func (l *controlLink) close() {
	if l.stream != nil {
		l.stream.Close()
		l.stream = nil
	}
}
