package ctview_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// assertGroup checks the term and the fence of the group g.
func assertGroup(t *testing.T, view *ctview.View, term, fence ctposition.Term) {
	t.Helper()
	assert.Equal(t, view.Groups["g"].Term, term)
	assert.Equal(t, view.Groups["g"].Fence, fence)
}

func TestGroupsNeverGoBack(t *testing.T) {
	group := func(term, fence ctposition.Term) ctview.Group {
		return ctview.Group{Name: "g", Term: term, Fence: fence, Primary: "m"}
	}
	view := (&ctview.View{}).WithGroups([]ctview.Group{group(1, 0)})
	t.Run("a higher fence is applied", func(t *testing.T) {
		view = view.WithGroups([]ctview.Group{group(1, 2)})
		assertGroup(t, view, 1, 2)
	})
	t.Run("an older delta that arrives later does not remove the fence", func(t *testing.T) {
		next, err := view.Apply(&ctview.Delta{To: 5, Groups: []ctview.Group{group(1, 0)}})
		assert.NilError(t, err)
		assertGroup(t, next, 1, 2)
	})
	t.Run("the next term ends the fence", func(t *testing.T) {
		view = view.WithGroups([]ctview.Group{group(2, 0)})
		assertGroup(t, view, 2, 0)
		view = view.WithGroups([]ctview.Group{group(1, 2)})
		assertGroup(t, view, 2, 0)
	})
}
