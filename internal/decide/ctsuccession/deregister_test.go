package ctsuccession_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// TestLateDeregistrationSettlesPromotion covers acknowledged writes that a late promotion loses:
// the deregistration by a member's earlier run arrived while the member ran again under its id,
// and its promotion was taken for settled.
func TestLateDeregistrationSettlesPromotion(t *testing.T) {
	e := newEnvironment()
	e.group.Unsettled = []ctview.Promotion{{Member: "c", Epoch: 7}}
	e.restartEmpty("c")
	e.run(stepInterval)
	e.machine.DeregisterMember(e.now, "c")
	for _, action := range e.machine.Decide(e.now, e.group) {
		_, settles := action.(ctsuccession.SettlePromotions)
		assert.Assert(t, !settles, "%v", action)
	}
}
