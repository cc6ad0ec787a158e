package ctregister_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// TestRequester covers the service receiving a lower epoch after a higher one: a decision of a
// later leader does not replace a requester whose requests may be on their way.
func TestRequester(t *testing.T) {
	first := ctview.Requester{Control: "x", Epoch: 4, Number: 1}
	second := ctview.Requester{Control: "y", Epoch: 5, Number: 1}
	newRegister := func() *ctregister.Register {
		var r ctregister.Register
		r.Apply(configureCommand("first", 0, "g"))
		r.Apply(ctregister.SetGroup{Group: ctview.Group{Name: "g", Term: 2, Requester: first}})
		return &r
	}
	set := func(r *ctregister.Register, requester ctview.Requester) {
		group := ctview.Group{Name: "g", Term: 2, Requester: requester}
		r.Apply(ctregister.SetGroup{BaseTerm: r.Groups["g"].Term, Group: group})
	}
	assertRequester := func(t *testing.T, r *ctregister.Register, want ctview.Requester) {
		t.Helper()
		assert.Equal(t, r.Groups["g"].Requester, want)
	}
	t.Run("stays until it is released", func(t *testing.T) {
		r := newRegister()
		set(r, second)
		assertRequester(t, r, first)
		set(r, ctview.Requester{})
		assertRequester(t, r, first)
		r.Apply(ctregister.ReleaseRequester{Group: "g", Requester: first})
		assertRequester(t, r, ctview.Requester{})
		set(r, second)
		assertRequester(t, r, second)
	})
	t.Run("is not brought back by a decision that was made before its release", func(t *testing.T) {
		r := newRegister()
		r.Apply(ctregister.ReleaseRequester{Group: "g", Requester: first})
		group := ctview.Group{Name: "g", Term: 2, Fence: 3, Requester: first}
		r.Apply(ctregister.SetGroup{BaseTerm: 2, BaseRequester: first, Group: group})
		assert.Equal(t, r.Groups["g"].Fence, group.Fence)
		assertRequester(t, r, ctview.Requester{})
	})
	t.Run("is not released in the place of another", func(t *testing.T) {
		r := newRegister()
		r.Apply(ctregister.ReleaseRequester{Group: "g", Requester: second})
		assertRequester(t, r, first)
	})
	t.Run("stays while the group is not declared", func(t *testing.T) {
		r := newRegister()
		r.Apply(configureCommand("second", 1, "h"))
		r.Apply(configureCommand("third", 2, "g"))
		r.Apply(ctregister.SetGroup{Group: ctview.Group{Name: "g", Term: 2, Requester: second}})
		assertRequester(t, r, first)
	})
}
