package ctsuccession

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// withRequester returns the group with this leader as its requester, if it has none.
func (m *Machine) withRequester(group ctview.Group) ctview.Group {
	if group.Requester.IsZero() {
		m.LastNumber++
		group.Requester = ctview.Requester{Control: m.Control, Epoch: m.Epoch, Number: m.LastNumber}
	}
	return group
}

// RecordHandOut records that a request was handed to a requester of an earlier epoch, which
// may send it from now on.
func (m *Machine) RecordHandOut(now time.Time) {
	m.handedOutAt = now
}

// requesterExpired reports whether a requester of an earlier epoch, of whose requests nobody
// has reported the end, can't have one on its way any more.
func (m *Machine) requesterExpired(now time.Time, group ctview.Group) bool {
	if group.Requester.IsZero() || group.Requester.Epoch == m.Epoch {
		return false
	}
	newest := m.startedAt
	if m.handedOutAt.After(newest) {
		newest = m.handedOutAt
	}
	return now.Sub(newest) >= RequestLifetime
}
