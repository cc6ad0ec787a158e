package ctregister_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// TestRedeclaredGroupLosesCommits covers acknowledged writes that a late promotion loses: a
// configuration dropped the group and the next one declared it again, without the promotions
// that may still take effect.
func TestRedeclaredGroupLosesCommits(t *testing.T) {
	var r ctregister.Register
	r.Apply(configureCommand("first", 0, "g"))
	unsettled := []ctview.Promotion{{Member: "b", Epoch: 4, Number: 1}}
	r.Apply(ctregister.SetGroup{Group: ctview.Group{Name: "g", Term: 2, Primary: "c", Unsettled: unsettled}})
	assert.DeepEqual(t, r.Groups["g"].Unsettled, unsettled)
	r.Apply(configureCommand("second", 1, "h"))
	r.Apply(configureCommand("third", 2, "g"))
	r.Apply(ctregister.SetGroup{Group: ctview.Group{Name: "g", Term: 2, Primary: "c"}})
	assert.DeepEqual(t, r.Groups["g"].Unsettled, unsettled)
}
