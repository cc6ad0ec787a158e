package ctsuccession

import (
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Mark is the state of a leader's hand-outs in a group. A requester's report that it has ended
// its part counts only if it names the present mark: an earlier run of the same process may
// have sent it, before a request was handed to a later run.
type Mark struct {
	Epoch    ctview.Epoch `cbor:"epoch"`
	HandOuts uint64       `cbor:"hand_outs"`
}

// handOuts is what a leader knows of the requests that it handed to a requester of an earlier
// epoch.
type handOuts struct {
	// count counts them. It begins with the machine's LastNumber, so that no two machines of
	// an epoch have the same.
	count uint64
	// sentAt are the times of those that may have been sent.
	sentAt []time.Time
	// released is the requester that nothing is handed to any more, because this leader has
	// proposed to release it.
	released ctview.Requester
}

// withRequester returns the group with this leader as its requester, if it has none.
func (m *Machine) withRequester(group ctview.Group) ctview.Group {
	if group.Requester.IsZero() {
		m.LastNumber++
		group.Requester = ctview.Requester{Control: m.Control, Epoch: m.Epoch, Number: m.LastNumber}
	}
	return group
}

// Mark returns the present state of the hand-outs.
func (m *Machine) Mark() Mark {
	return Mark{Epoch: m.Epoch, HandOuts: m.handOuts.count}
}

// MayRequest reports whether a request may be sent as a requester: its release is not proposed.
func (m *Machine) MayRequest(requester ctview.Requester) bool {
	return m.handOuts.released != requester
}

// RecordHandOut records that a request was handed to a requester of an earlier epoch, which
// may send it from now on.
func (m *Machine) RecordHandOut(now time.Time) {
	m.handOuts.count++
	m.handOuts.sentAt = append(m.handOuts.sentAt, now)
}

// TakeBackHandOut records that the request that was handed out at a time was not sent and
// won't be.
func (m *Machine) TakeBackHandOut(at time.Time) {
	if i := slices.IndexFunc(m.handOuts.sentAt, at.Equal); i >= 0 {
		m.handOuts.sentAt = slices.Delete(m.handOuts.sentAt, i, i+1)
	}
}

// Release returns the action that follows from a requester's report that it has ended its part,
// if the report names the present mark. From then on nothing is handed to it.
func (m *Machine) Release(group ctview.Group, requester ctview.Requester, mark Mark) (ReleaseRequester, bool) {
	if requester.IsZero() || group.Requester != requester || mark != m.Mark() {
		return ReleaseRequester{}, false
	}
	m.handOuts.released = requester
	return ReleaseRequester{Requester: requester, Reason: ReasonAnswered}, true
}

// expireRequester releases a requester of an earlier epoch, of whose requests nobody has reported
// the end, if it can't have one on its way any more.
func (m *Machine) expireRequester(now time.Time, group ctview.Group) (ReleaseRequester, bool) {
	if group.Requester.IsZero() || group.Requester.Epoch == m.Epoch {
		return ReleaseRequester{}, false
	}
	for _, at := range append([]time.Time{m.startedAt}, m.handOuts.sentAt...) {
		if now.Sub(at) < RequestLifetime {
			return ReleaseRequester{}, false
		}
	}
	m.handOuts.released = group.Requester
	return ReleaseRequester{Requester: group.Requester, Reason: ReasonExpired}, true
}
