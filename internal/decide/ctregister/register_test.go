package ctregister_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// configureCommand returns a Configure command whose document declares one group.
func configureCommand(id ctid.Change, base ctid.Revision, group ctid.Group) ctregister.Configure {
	return ctregister.Configure{Change: ctconfig.Change{
		ID: id, Base: base, Author: "lab",
		Document: ctconfig.Document{Groups: []ctconfig.Group{{Name: group, Size: 3}}},
	}}
}

func assertConfigured(t *testing.T, result ctregister.Result, want ctid.Revision) {
	t.Helper()
	configured, ok := result.(ctregister.Configured)
	assert.Assert(t, ok, "%#v", result)
	assert.Equal(t, configured.Accepted.Revision, want)
}

func assertConflict(t *testing.T, result ctregister.Result, winner ctid.Change, idReused bool) {
	t.Helper()
	conflict, ok := result.(ctregister.Conflict)
	assert.Assert(t, ok, "%#v", result)
	assert.Equal(t, conflict.Winner.Change.ID, winner)
	assert.Equal(t, conflict.IDReused, idReused)
}

func TestConfigure(t *testing.T) {
	t.Run("numbers the accepted changes", func(t *testing.T) {
		var r ctregister.Register
		for i := range ctid.Revision(500) {
			id := ctid.Change(fmt.Sprintf("change-%d", i))
			assertConfigured(t, r.Apply(configureCommand(id, i, "g")), i+1)
		}
	})
	t.Run("names the winner of a race on one base", func(t *testing.T) {
		var r ctregister.Register
		r.Apply(configureCommand("ana", 0, "g"))
		assertConflict(t, r.Apply(configureCommand("bor", 0, "h")), "ana", false)
	})
	t.Run("returns the first result for a change that is sent again", func(t *testing.T) {
		var r ctregister.Register
		r.Apply(configureCommand("ana", 0, "g"))
		r.Apply(configureCommand("bor", 1, "g"))
		duplicate, ok := r.Apply(configureCommand("ana", 0, "g")).(ctregister.Duplicate)
		assert.Assert(t, ok)
		assert.Equal(t, duplicate.Accepted.Revision, ctid.Revision(1))
		assert.Equal(t, r.CurrentConfig().Revision, ctid.Revision(2))
	})
	t.Run("rejects a used id with different content", func(t *testing.T) {
		var r ctregister.Register
		r.Apply(configureCommand("ana", 0, "g"))
		assertConflict(t, r.Apply(configureCommand("ana", 1, "h")), "ana", true)
	})
	t.Run("rejects a base that does not exist", func(t *testing.T) {
		var r ctregister.Register
		r.Apply(configureCommand("ana", 0, "g"))
		assertConflict(t, r.Apply(configureCommand("bor", 7, "h")), "ana", false)
	})
}

func TestSetGroup(t *testing.T) {
	setGroup := func(group ctview.Group) ctregister.SetGroup {
		return ctregister.SetGroup{Group: group}
	}
	t.Run("applies a decision on a declared group", func(t *testing.T) {
		var r ctregister.Register
		r.Apply(configureCommand("ana", 0, "g"))
		assert.Equal(t, r.Apply(setGroup(ctview.Group{Name: "g", Term: 1})), ctregister.GroupSet{Name: "g", Applied: true})
	})
	t.Run("ignores a decision based on an earlier state", func(t *testing.T) {
		var r ctregister.Register
		r.Apply(configureCommand("ana", 0, "g"))
		r.Apply(setGroup(ctview.Group{Name: "g", Term: 1}))
		assert.Equal(t, r.Apply(setGroup(ctview.Group{Name: "g", Term: 2})), ctregister.GroupSet{Name: "g"})
	})
	t.Run("ignores a decision on an undeclared group", func(t *testing.T) {
		var r ctregister.Register
		assert.Equal(t, r.Apply(setGroup(ctview.Group{Name: "g", Term: 1})), ctregister.GroupSet{Name: "g"})
	})
}

// TestLostLogs guards against acknowledged commits that are lost, or a group that waits without
// need: the register forgets lost logs in their term, or keeps them in a later one.
func TestLostLogs(t *testing.T) {
	lost := func(term ctposition.Term) []ctview.LostLogs {
		return []ctview.LostLogs{{Group: "g", Term: term, Uncovered: []ctview.LostLog{{Member: "b"}}}}
	}
	begin := func() *ctregister.Register {
		r := &ctregister.Register{}
		document := ctconfig.Document{Groups: []ctconfig.Group{{Name: "g"}}}
		r.Apply(ctregister.Configure{Change: ctconfig.Change{ID: "first", Document: document}})
		r.Apply(ctregister.SetGroup{Group: ctview.Group{Name: "g", Term: 3, Primary: "a"}})
		r.Apply(ctregister.SetMembers{Lost: lost(3)})
		return r
	}
	set := func(group ctview.Group, fence ctposition.Term) ctregister.SetGroup {
		return ctregister.SetGroup{Group: group, BaseTerm: 3, BaseFence: fence}
	}
	t.Run("stay while the primary is replaced", func(t *testing.T) {
		r := begin()
		r.Apply(set(ctview.Group{Name: "g", Term: 3, Primary: "a", Fence: 4}, 0))
		assert.Equal(t, len(r.Lost), 1)
	})
	t.Run("end with the term", func(t *testing.T) {
		r := begin()
		r.Apply(set(ctview.Group{Name: "g", Term: 4, Primary: "b"}, 0))
		assert.Equal(t, len(r.Lost), 0)
	})
	t.Run("stay if the change of term has no effect", func(t *testing.T) {
		r := begin()
		r.Apply(set(ctview.Group{Name: "g", Term: 4, Primary: "b"}, 9))
		assert.Equal(t, len(r.Lost), 1)
	})
	t.Run("of an earlier term are not taken", func(t *testing.T) {
		r := begin()
		r.Apply(ctregister.SetMembers{Lost: lost(2)})
		assert.Equal(t, len(r.Lost), 0)
	})
	t.Run("stay as they are under a leader of the version before", func(t *testing.T) {
		r := begin()
		r.Apply(ctregister.SetMembers{})
		assert.Equal(t, len(r.Lost), 1)
	})
}
