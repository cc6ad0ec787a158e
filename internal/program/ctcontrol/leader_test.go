package ctcontrol

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
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

// TestVoterList guards against a proxy that still knows its seeds alone after control has answered
// it, because its first reports failed and a later one is answered without the voters.
func TestVoterList(t *testing.T) {
	voters := []ctid.Control{"a", "b"}
	c := New(Options{
		Name: "a", Clock: ctclock.System{}, Voters: func(*ctlock.Held) []ctid.Control { return voters },
	})
	for _, test := range []struct {
		name   string
		report ctview.Report
		listed []ctid.Control
	}{
		{"the first report is answered with the voters", ctview.Report{Number: 1}, voters},
		{"so is a later one of a proxy without authority", ctview.Report{Number: 3, Lapsed: true}, voters},
		{"most replies list none", ctview.Report{Number: 3}, nil},
		{"a reply from time to time does", ctview.Report{Number: 1 + reportsPerVoterList}, voters},
	} {
		t.Run(test.name, func(t *testing.T) {
			var held ctlock.Held
			assert.DeepEqual(t, c.HandleReport(&held, &test.report).Controls, test.listed)
		})
	}
}
