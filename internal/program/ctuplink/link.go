package ctuplink

import (
	"context"
	"net/netip"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// link is a way to the leader of control, which is opened again when it fails.
type link struct {
	uplink *Uplink
	way    ctframe.Way
	// next is the place in the list of control's addresses to try next.
	next int
	// tries counts the ways that could not be opened in a row.
	tries int
	// leader is the address that control told, where it did.
	leader *netip.AddrPort
}

// ask sends a frame and returns the answer.
func (l *link) ask(ctx context.Context, frame ctframe.Frame) (ctframe.Frame, error) {
	if l.way == nil {
		opening, cancel := context.WithTimeout(ctx, l.patience())
		way, err := l.uplink.Ways.Open(opening, l.address())
		cancel()
		if err != nil {
			return nil, err
		}
		l.way = way
		l.tries = 0
	}
	answer, err := ctframe.Ask(ctx, l.way, frame)
	if err != nil {
		l.close()
	}
	return answer, err
}

// patience returns how long the opening of a way may take this time.
func (l *link) patience() time.Duration {
	l.tries++
	if l.tries%patientEvery == 0 {
		return patientTime
	}
	return openTime
}

// address returns the address to try: the leader's, or the next of the list.
func (l *link) address() netip.AddrPort {
	if l.leader != nil {
		leader := *l.leader
		l.leader = nil
		return leader
	}
	known := l.uplink.known()
	address := known[l.next%len(known)]
	l.next++
	return address
}

// redirect goes to the leader that another control process named, or to the next
// process where it named none.
func (l *link) redirect(reply *ctview.Reply) error {
	if !reply.Unready {
		return nil
	}
	l.close()
	l.leader = reply.Leader
	return cterror.New(cterror.Unavailable, "the control process does not lead", "ask another one")
}

func (l *link) close() {
	if l.way != nil {
		l.way.Close()
		l.way = nil
	}
}
