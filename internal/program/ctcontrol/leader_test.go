package ctcontrol

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// TestConfigTimeLeft checks how long proxies may act on older configurations.
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
		{"the newest revision is not limited", 7, applyTimeout, 0, false},
		{"one revision behind is limited by the newest revision", 6, applyTimeout, 2500 * time.Millisecond, true},
		{"two revisions behind is limited by the older of the two", 5, applyTimeout, 1500 * time.Millisecond, true},
		{"a revision far behind is limited by the oldest recorded one", 1, applyTimeout, 500 * time.Millisecond, true},
		{"a proxy without a configuration is not limited", 0, applyTimeout, 0, false},
		{"an apply timeout of 0 sets no limit", 5, 0, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			left, limited := l.configTimeLeft(now, c.revision, c.applyTimeout)
			assert.Equal(t, limited, c.limited)
			assert.Equal(t, left, c.left)
		})
	}
}
