package ctview_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// TestSettledPromotionReturns covers writes that one proxy went on refusing: an older state of
// the group arrived over another stream, and the view took its settled promotion back.
func TestSettledPromotionReturns(t *testing.T) {
	settled := ctview.Group{Name: "g", Term: 2, Primary: "c", Revision: 8}
	older := settled
	older.Revision = 7
	older.Unsettled = []ctview.Promotion{{Member: "b", Epoch: 4, Number: 1}}
	view := (&ctview.View{}).WithGroups([]ctview.Group{older})
	view, err := view.Apply(&ctview.Delta{To: 5, Groups: []ctview.Group{settled}})
	assert.NilError(t, err)
	group := view.WithGroups([]ctview.Group{older}).Groups["g"]
	assert.Equal(t, len(group.GuardMembers()), 0)
}
