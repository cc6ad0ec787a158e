package ctmembers_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctmembers"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// guardedGroup returns the state of a group in which the service may still promote m1.
func guardedGroup() ctview.Group {
	unsettled := []ctview.Promotion{{Member: ctmembers.MemberName(1), Epoch: 1}}
	return ctview.Group{Term: 1, Primary: ctmembers.MemberName(0), Unsettled: unsettled}
}

// writeGuarded writes to a group whose replicas lack the newest entries of the log while the
// service may still promote one of them.
func writeGuarded(t *testing.T, w way, lagEntries int) (f *fixture, answer ctquery.Answer, write ctquery.ID) {
	t.Helper()
	options := smallGroup
	options.LagEntries = lagEntries
	f = newFixtureWith(t, w, options, ctconfig.FreshnessPrimary)
	f.setGroup(guardedGroup())
	answer, write = f.connect(t, "c").call(t, ctquery.Write{Arguments: "i d"})
	return f, answer, write
}

// TestCommitThatLatePromotionLoses guards against success for a write that is lost if the
// service handles an old promotion request now (issue 29, rule LOST).
func TestCommitThatLatePromotionLoses(t *testing.T) {
	forEachWay(t, "a write that the member lacks is not acknowledged", func(t *testing.T, w way) {
		f, answer, write := writeGuarded(t, w, 1)
		assert.Equal(t, answer.Fault, ctquery.FaultOutcomeUnknown)
		assert.Equal(t, f.group.WriteCounts()[write], 1)
	})
	forEachWay(t, "a write that the member holds is acknowledged", func(t *testing.T, w way) {
		_, answer, _ := writeGuarded(t, w, 0)
		assert.Assert(t, answer.OK(), "%s", answer.Text)
	})
	t.Run("a read is answered", func(t *testing.T) {
		f, _, _ := writeGuarded(t, direct, 1)
		answer, _ := f.connect(t, "d").call(t, ctquery.Read{Item: "i"})
		assert.Assert(t, answer.OK(), "%s", answer.Text)
	})
}

// TestWriteWithoutGuardInView covers writes of unknown outcome, one after another: the member
// that the service may still promote has left the view, so that no write can be acknowledged,
// but each is run.
func TestWriteWithoutGuardInView(t *testing.T) {
	f := newFixtureWith(t, direct, smallGroup, ctconfig.FreshnessPrimary)
	group := guardedGroup()
	group.Unsettled[0].Member = "gone"
	f.setGroup(group)
	answer, write := f.connect(t, "c").call(t, ctquery.Write{Arguments: "i d"})
	assert.Assert(t, answer.Fault.NotRun(), "%s", answer.Fault)
	assert.Equal(t, f.group.WriteCounts()[write], 0)
}
