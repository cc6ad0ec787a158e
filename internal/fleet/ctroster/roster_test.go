package ctroster_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/fleet/ctroster"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// groupCount is how many groups each test configuration has.
const groupCount = 50

// newConfig returns a configuration of a revision. The size of its first group is the
// revision.
func newConfig(revision ctid.Revision) ctview.Config {
	c := ctview.Config{Revision: revision}
	for i := range groupCount {
		c.Document.Groups = append(c.Document.Groups, ctconfig.Group{
			Name: ctid.Group(fmt.Sprintf("group-%d", i)), Size: 3,
		})
	}
	c.Document.Groups[0].Size = int(revision)
	return c
}

// newRoster returns the roster of a new leader with its first configuration.
func newRoster() *ctroster.Roster {
	r := &ctroster.Roster{}
	r.Reset(1)
	r.SetConfig(newConfig(1))
	return r
}

// applyDelta returns the view after the roster's delta for it.
func applyDelta(t *testing.T, r *ctroster.Roster, view *ctview.View) *ctview.View {
	t.Helper()
	next, err := view.Apply(r.DeltaSince(view.Version, view.Config.Revision))
	assert.NilError(t, err)
	return next
}

func assertConfig(t *testing.T, view *ctview.View, revision ctid.Revision) {
	t.Helper()
	assert.Equal(t, view.Config.Revision, revision)
	first, ok := view.Config.Document.Group("group-0")
	assert.Assert(t, ok)
	assert.Equal(t, first.Size, int(revision))
	assert.Equal(t, len(view.Config.Document.Groups), groupCount)
}

func TestConfigDeltas(t *testing.T) {
	t.Run("a new proxy receives the whole configuration", func(t *testing.T) {
		r := newRoster()
		assert.Assert(t, r.DeltaSince(0, 0).Config != nil)
		assertConfig(t, applyDelta(t, r, &ctview.View{}), 1)
	})
	t.Run("a proxy that missed a few changes receives a patch", func(t *testing.T) {
		r := newRoster()
		view := applyDelta(t, r, &ctview.View{})
		r.SetConfig(newConfig(2))
		r.SetConfig(newConfig(3))
		delta := r.DeltaSince(view.Version, view.Config.Revision)
		assert.Assert(t, delta.Config == nil)
		assert.Equal(t, len(delta.ConfigPatch.Patch.Groups), 1)
		assertConfig(t, applyDelta(t, r, view), 3)
	})
	t.Run("a proxy that missed many changes receives the whole configuration", func(t *testing.T) {
		r := newRoster()
		view := applyDelta(t, r, &ctview.View{})
		for i := range ctid.Revision(200) {
			r.SetConfig(newConfig(i + 2))
		}
		assert.Assert(t, r.DeltaSince(view.Version, view.Config.Revision).Config != nil)
		assertConfig(t, applyDelta(t, r, view), 201)
	})
	t.Run("deltas of other changes have no configuration", func(t *testing.T) {
		r := newRoster()
		view := applyDelta(t, r, &ctview.View{})
		r.ApplyReport(time.Unix(0, 0), &ctview.Report{Proxy: ctview.Proxy{Name: "proxy-1"}})
		delta := r.DeltaSince(view.Version, view.Config.Revision)
		assert.Assert(t, delta.Config == nil && delta.ConfigPatch == nil)
	})
	t.Run("a patch of another configuration is rejected", func(t *testing.T) {
		r := newRoster()
		old := applyDelta(t, r, &ctview.View{})
		r.SetConfig(newConfig(2))
		patch := r.DeltaSince(old.Version, old.Config.Revision)
		newer := applyDelta(t, r, old)
		r.SetConfig(newConfig(3))
		patch.To = r.Version()
		unchanged, err := newer.Apply(patch)
		assert.ErrorContains(t, err, "builds on configuration 1")
		assertConfig(t, unchanged, 2)
		assertConfig(t, applyDelta(t, r, unchanged), 3)
	})
}

// TestGroupsSince checks what is sent ahead of the view: few groups, however many there are.
func TestGroupsSince(t *testing.T) {
	const groups = 100
	var r ctroster.Roster
	r.Reset(1)
	for i := range groups {
		r.SetGroup(ctview.Group{Name: ctid.Group(fmt.Sprintf("g%d", i)), Term: 1})
	}
	before := r.Version()
	assert.Equal(t, len(r.GroupsSince(before)), 0)
	r.SetGroup(ctview.Group{Name: "g7", Term: 1, Fence: 2})
	since := r.GroupsSince(before)
	assert.Equal(t, len(since), 1)
	assert.Equal(t, since[0].Name, ctid.Group("g7"))
}
