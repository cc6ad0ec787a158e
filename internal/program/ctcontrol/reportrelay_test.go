package ctcontrol

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// TestCompleteReply checks what a control process adds to the leader's replies.
func TestCompleteReply(t *testing.T) {
	groups := make(map[ctid.Group]ctview.Group)
	members := make(map[ctid.Member]ctserver.Announcement)
	for i := range ctview.TrackAllLimit + 4 {
		group, member := ctid.Group(fmt.Sprintf("g%d", i)), ctid.Member(fmt.Sprintf("m%d", i))
		groups[group] = ctview.Group{Name: group, Term: 1, Primary: member}
		members[member] = ctserver.Announcement{Group: group, Member: member}
	}
	fenced := groups["g3"]
	fenced.Fence = 2
	groups["g3"] = fenced
	view := &ctview.View{Version: 9, Groups: groups, Members: members}
	relay := &ctview.Reply{LogSamples: []ctview.LogSample{{Group: "g1"}, {Group: "g2"}}}
	t.Run("to a proxy whose authority has lapsed: all that the leader sent", func(t *testing.T) {
		ahead := &ctview.Reply{Groups: []ctview.Group{groups["g5"]}}
		var reply ctview.Reply
		completeReply(&reply, &ctview.Report{Version: 8, Lapsed: true}, view, ahead)
		assertNames(t, reply.Groups, "g5")
	})
	complete := func(version ctview.Version, relay *ctview.Reply) ctview.Reply {
		var reply ctview.Reply
		completeReply(&reply, &ctview.Report{Version: version, Reachable: []ctid.Member{"m1"}}, view, relay)
		return reply
	}
	t.Run("the samples of the groups in use", func(t *testing.T) {
		assert.DeepEqual(t, complete(9, relay).LogSamples, []ctview.LogSample{{Group: "g1"}})
	})
	t.Run("in a fleet with few groups, the samples of all", func(t *testing.T) {
		var reply ctview.Reply
		few := &ctview.View{Version: 9, Groups: map[ctid.Group]ctview.Group{"g1": groups["g1"], "g2": groups["g2"]}}
		completeReply(&reply, &ctview.Report{Version: 9}, few, relay)
		assert.DeepEqual(t, reply.LogSamples, relay.LogSamples)
	})
	t.Run("to a proxy with an earlier view: the groups in use and those that change", func(t *testing.T) {
		assert.Equal(t, len(complete(8, relay).Groups), 2)
	})
	t.Run("to a proxy with the same view: no groups", func(t *testing.T) {
		assert.Equal(t, len(complete(9, relay).Groups), 0)
	})
	t.Run("to all: groups that are ahead of the view", func(t *testing.T) {
		assert.Equal(t, len(complete(9, &ctview.Reply{Groups: []ctview.Group{fenced}}).Groups), 2)
	})
}

// TestBatchOfLapsedProxies guards against a reply that grows with the square of the proxies
// that have lost their authority at once.
func TestBatchOfLapsedProxies(t *testing.T) {
	const groups, proxies = ctview.TrackAllLimit + 4, 50
	c := New(Options{Name: "a", Clock: ctclock.System{}})
	var held ctlock.Held
	c.state.With(&held, func(l *leaderState) {
		l.register.Groups = newLeader(groups).register.Groups
		now := time.Now()
		l.startLeading(now, 2, time.Second)
		l.authorityExpiresAt = now.Add(time.Hour)
		for name := range l.register.Groups {
			l.startSuccession(now, name)
		}
	})
	batch := &ctframe.ReportBatch{Version: 1}
	for i := range proxies {
		batch.Reports = append(batch.Reports, ctview.Report{
			Number: 1, Version: 1, Lapsed: true, Proxy: ctview.Proxy{Name: ctid.Proxy(fmt.Sprintf("p%d", i))},
		})
	}
	reply := c.HandleReportBatch(&held, batch)
	assert.Equal(t, len(reply.Replies), proxies)
	assert.Equal(t, len(reply.Relay.Groups), groups)
}
