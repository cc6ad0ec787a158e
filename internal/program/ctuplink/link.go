package ctuplink

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctseek"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// systemRandom is a ctseek.Random that draws from the process-wide random source.
type systemRandom struct{}

// Int64N returns a random number from 0 to n-1.
func (systemRandom) Int64N(n int64) int64 {
	return rand.Int64N(n)
}

// controlLink is a stream to a process of control, directly or via a relay, that carries
// reports. A stream that fails is replaced at the next call. One goroutine uses a link.
type controlLink struct {
	uplink *Uplink
	seeker ctseek.Seeker
	// stream is nil while none is open.
	stream ctframe.Stream
	// target is that of the last attempt to open a stream.
	target ctseek.Target
	// closeAt is when the stream is replaced by one to a process that the seeker prefers;
	// zero if the target is the preferred one.
	closeAt time.Time
	// lostSince is when reports began to fail; zero while they are answered.
	lostSince time.Time
}

func (u *Uplink) newLink() *controlLink {
	return &controlLink{uplink: u, seeker: ctseek.Seeker{Self: u.Self.Address, Random: systemRandom{}}}
}

// call sends a frame and returns the answer. It opens a stream if none is open, and
// closes it on an error.
func (l *controlLink) call(ctx context.Context, frame ctframe.Frame) (ctframe.Frame, error) {
	if l.stream != nil && !l.closeAt.IsZero() && l.uplink.Clock.Now().After(l.closeAt) {
		l.close()
		l.seeker.Restart()
	}
	if l.stream == nil {
		if err := l.open(ctx); err != nil {
			return nil, err
		}
	}
	answer, err := ctframe.Call(ctx, l.stream, frame)
	if err != nil {
		l.close()
	}
	return answer, err
}

// open opens a stream to the seeker's next target.
func (l *controlLink) open(ctx context.Context) error {
	var held ctlock.Held
	controls := l.uplink.controlAddresses(&held)
	l.target = l.seeker.Next(controls, l.uplink.relayAddresses(&held))
	ctx, cancel := context.WithTimeout(ctx, l.seeker.OpenTimeout(l.target))
	defer cancel()
	start := l.uplink.Clock.Now()
	stream, err := l.uplink.Transport.Open(ctx, targetAddress(l.target))
	if err != nil {
		return err
	}
	l.stream, l.closeAt = stream, time.Time{}
	if control, direct := l.target.(ctseek.Control); direct {
		l.seeker.RecordOpened(control.Address, l.uplink.Clock.Now().Sub(start))
	}
	// Without external promotions only the leader answers, wherever it is.
	if retention := l.seeker.Retention(l.target, controls); retention > 0 && l.uplink.Groups != nil {
		l.closeAt = l.uplink.Clock.Now().Add(retention)
	}
	return nil
}

// targetAddress returns the address of a target.
func targetAddress(target ctseek.Target) netip.AddrPort {
	switch t := target.(type) {
	case ctseek.Control:
		return t.Address
	case ctseek.Relay:
		return t.Address
	}
	return netip.AddrPort{}
}

// redirect returns an error if a reply came from a control process that could not serve
// the proxy because it does not lead. It then closes the stream; the next attempt goes to
// the leader that the process named, or to another process if it named none.
func (l *controlLink) redirect(reply *ctview.Reply) error {
	if !reply.NotLeader {
		return nil
	}
	l.close()
	if _, direct := l.target.(ctseek.Control); direct && reply.LeaderAddress != nil {
		l.seeker.Prefer(*reply.LeaderAddress)
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
