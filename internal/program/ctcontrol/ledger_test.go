package ctcontrol

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

func TestConfigTimeLeft(t *testing.T) {
	const applyTimeout = 3 * time.Second
	began := time.Unix(1000, 0)
	var l leaderState
	for i := range 3 {
		l.recordConfig(began.Add(time.Duration(i)*time.Second), ctconfig.AcceptedChange{Revision: ctid.Revision(i + 5)})
	}
	now := began.Add(2500 * time.Millisecond)
	for _, c := range []struct {
		name         string
		revision     ctid.Revision
		applyTimeout time.Duration
		left         time.Duration
		limited      bool
	}{
		{"a proxy with the newest may go on", 7, applyTimeout, 0, false},
		{"one behind may go on until the newest is due", 6, applyTimeout, 2500 * time.Millisecond, true},
		{"two behind may go on until the first of them is due", 5, applyTimeout, 1500 * time.Millisecond, true},
		{"far behind counts from the oldest that is noted", 1, applyTimeout, 500 * time.Millisecond, true},
		{"a proxy without any serves nothing", 0, applyTimeout, 0, false},
		{"there may be no bound", 5, 0, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			left, limited := l.configTimeLeft(now, c.revision, c.applyTimeout)
			assert.Equal(t, limited, c.limited)
			assert.Equal(t, left, c.left)
		})
	}
}
