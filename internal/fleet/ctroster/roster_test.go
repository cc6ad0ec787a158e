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

// someGroups is how many groups the configurations of the tests have.
const someGroups = 50

// config returns a configuration whose first group has the size of its
// revision.
func config(revision ctid.Revision) ctview.Config {
	c := ctview.Config{Revision: revision}
	for i := range someGroups {
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
	r.SetConfig(config(1))
	return r
}

// apply takes what the roster has newer into a view.
func apply(t *testing.T, r *ctroster.Roster, view *ctview.View) *ctview.View {
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
	assert.Equal(t, len(view.Config.Document.Groups), someGroups)
}

func TestConfigDeltas(t *testing.T) {
	t.Run("a new proxy gets the whole configuration", func(t *testing.T) {
		r := newRoster()
		assert.Assert(t, r.DeltaSince(0, 0).Config != nil)
		assertConfig(t, apply(t, r, &ctview.View{}), 1)
	})
	t.Run("one that missed changes gets what has changed", func(t *testing.T) {
		r := newRoster()
		view := apply(t, r, &ctview.View{})
		r.SetConfig(config(2))
		r.SetConfig(config(3))
		delta := r.DeltaSince(view.Version, view.Config.Revision)
		assert.Assert(t, delta.Config == nil)
		assert.Equal(t, len(delta.ConfigPatch.Patch.Groups), 1)
		assertConfig(t, apply(t, r, view), 3)
	})
	t.Run("one that missed very many gets the whole", func(t *testing.T) {
		r := newRoster()
		view := apply(t, r, &ctview.View{})
		for i := range ctid.Revision(200) {
			r.SetConfig(config(i + 2))
		}
		assert.Assert(t, r.DeltaSince(view.Version, view.Config.Revision).Config != nil)
		assertConfig(t, apply(t, r, view), 201)
	})
	t.Run("other news carry no configuration", func(t *testing.T) {
		r := newRoster()
		view := apply(t, r, &ctview.View{})
		r.ApplyReport(time.Unix(0, 0), &ctview.Report{Proxy: ctview.Proxy{Name: "proxy-1"}})
		delta := r.DeltaSince(view.Version, view.Config.Revision)
		assert.Assert(t, delta.Config == nil && delta.ConfigPatch == nil)
	})
	t.Run("a patch of another configuration is refused", func(t *testing.T) {
		r := newRoster()
		old := apply(t, r, &ctview.View{})
		r.SetConfig(config(2))
		patch := r.DeltaSince(old.Version, old.Config.Revision)
		newer := apply(t, r, old)
		r.SetConfig(config(3))
		patch.To = r.Version()
		kept, err := newer.Apply(patch)
		assert.ErrorContains(t, err, "builds on configuration 1")
		assertConfig(t, kept, 2)
		assertConfig(t, apply(t, r, kept), 3)
	})
}
