package ctmembers_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctmembers"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// forEachWay runs a subtest for each way of a proxy's statements to members.
func forEachWay(t *testing.T, name string, test func(t *testing.T, w way)) {
	t.Helper()
	for _, w := range []way{direct, forwarded} {
		t.Run(name+", "+string(w), func(t *testing.T) { test(t, w) })
	}
}

// beginWrite starts a session with an open transaction that wrote.
func beginWrite(t *testing.T, f *fixture) (c *caller, write ctquery.ID) {
	t.Helper()
	c = f.connect(t, "c")
	c.call(t, ctquery.Begin{})
	answer, write := c.call(t, ctquery.Write{Arguments: "i d"})
	assert.Assert(t, answer.OK(), "%s", answer.Text)
	return c, write
}

// TestAcknowledgedAtReplacedPrimary guards against success for a write or COMMIT that ran
// at a replaced primary, by a proxy that slept through the change (review/1, rule ONE).
func TestAcknowledgedAtReplacedPrimary(t *testing.T) {
	forEachWay(t, "an open transaction is not committed there", func(t *testing.T, w way) {
		f := newFixtureWith(t, w, smallGroup, ctconfig.FreshnessPrimary)
		c, write := beginWrite(t, f)
		f.replacePrimary()
		answer, _ := c.call(t, ctquery.Commit{})
		assert.Equal(t, answer.Fault, ctquery.FaultAborted)
		assert.Equal(t, answer.Transaction, ctquery.TransactionNone)
		assert.Equal(t, f.group.WriteCounts()[write], 0)
		assertNoViolations(t, f)
	})
	forEachWay(t, "a statement of an open transaction fails at once", func(t *testing.T, w way) {
		f := newFixtureWith(t, w, smallGroup, ctconfig.FreshnessPrimary)
		c, _ := beginWrite(t, f)
		f.replacePrimary()
		answer, _ := c.call(t, ctquery.Write{Arguments: "i e"})
		assert.Equal(t, answer.Fault, ctquery.FaultAborted)
		assert.Equal(t, answer.Transaction, ctquery.TransactionFailed)
		answer, _ = c.call(t, ctquery.Rollback{})
		assert.Assert(t, answer.OK())
		assertNoViolations(t, f)
	})
	forEachWay(t, "a COMMIT that it answers after the change is not acknowledged", func(t *testing.T, w way) {
		f := newFixtureWith(t, w, smallGroup, ctconfig.FreshnessPrimary)
		c, _ := beginWrite(t, f)
		ran, release := f.group.HoldAnswer()
		id := c.send(ctquery.Commit{})
		<-ran
		f.replacePrimary()
		release()
		assert.Equal(t, c.awaitAnswer(t, id).Fault, ctquery.FaultOutcomeUnknown)
	})
	forEachWay(t, "a write that it answers after the change is not acknowledged", func(t *testing.T, w way) {
		f := newFixtureWith(t, w, smallGroup, ctconfig.FreshnessPrimary)
		c := f.connect(t, "c")
		ran, release := f.group.HoldAnswer()
		id := c.send(ctquery.Write{Arguments: "i d"})
		<-ran
		f.replacePrimary()
		release()
		assert.Equal(t, c.awaitAnswer(t, id).Fault, ctquery.FaultOutcomeUnknown)
	})
	t.Run("an open transaction ends during the change, once the fence is enforced", func(t *testing.T) {
		f := newFixture(t, smallGroup, ctconfig.FreshnessPrimary)
		c, write := beginWrite(t, f)
		f.setGroup(ctview.Group{Term: 1, Primary: ctmembers.MemberName(0), Fence: 2})
		answer, _ := c.call(t, ctquery.Commit{})
		assert.Equal(t, answer.Fault, ctquery.FaultAborted)
		assert.Equal(t, f.group.WriteCounts()[write], 0)
	})
}
