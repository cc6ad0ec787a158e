package ctcontrol

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// newLeader returns a leader of a number of groups, each with a primary.
func newLeader(groups int) *leaderState {
	l := &leaderState{}
	l.register.Groups = make(map[ctid.Group]ctview.Group)
	l.roster.Reset(2)
	for i := range groups {
		group := ctview.Group{Name: groupName(i), Term: 1, Primary: ctid.Member(fmt.Sprintf("m%d", i))}
		l.register.Groups[group.Name] = group
		l.roster.SetGroup(group)
	}
	return l
}

func groupName(i int) ctid.Group {
	return ctid.Group(fmt.Sprintf("g%d", i))
}

// changePrimary completes a change of a group's primary.
func (l *leaderState) changePrimary(name ctid.Group) {
	group := l.register.Groups[name]
	group.Term, group.Primary = group.Term+1, "other"
	l.register.Groups[name] = group
	l.roster.SetGroup(group)
}

// assertNames checks that groups include the named one or, if there is no name, none.
func assertNames(t *testing.T, groups []ctview.Group, want ctid.Group) {
	t.Helper()
	for _, g := range groups {
		if g.Name == want {
			return
		}
	}
	assert.Equal(t, want, ctid.Group(""), "%v", groups)
}

// TestLapsedAuthority guards against authority for a proxy that acts on a group whose primary
// was replaced while the proxy had none, because its report does not name the group.
func TestLapsedAuthority(t *testing.T) {
	const groups = ctview.TrackAllLimit + 4
	report := func(l *leaderState, lapsed bool) *ctview.Report {
		return &ctview.Report{Version: l.roster.Version(), Lapsed: lapsed}
	}
	t.Run("a group that has changed since is in the reply", func(t *testing.T) {
		l := newLeader(groups)
		r := report(l, true)
		l.changePrimary("g3")
		assertNames(t, l.replyGroups(r, nil), "g3")
	})
	t.Run("all groups are, if another leader issued the proxy's view", func(t *testing.T) {
		l := newLeader(groups)
		assert.Equal(t, len(l.replyGroups(&ctview.Report{Version: 1, Lapsed: true}, nil)), groups)
	})
	t.Run("with very many groups the proxy gets the new leader's view first", func(t *testing.T) {
		l := newLeader(maxReplyGroups + 1)
		assert.Assert(t, l.mustAwaitView(&ctview.Report{Version: 1, Lapsed: true}))
		assert.Assert(t, !l.mustAwaitView(&ctview.Report{Version: 1}))
		assert.Assert(t, !l.mustAwaitView(report(l, true)))
	})
	t.Run("a proxy that kept its authority confirmed the change, so that the reply needn't have it", func(t *testing.T) {
		l := newLeader(groups)
		r := report(l, false)
		l.changePrimary("g3")
		assert.Equal(t, len(l.replyGroups(r, nil)), 0)
	})
}
