package ctmembers_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctmembers"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// laggingGroup is a group whose replicas apply nothing of the tests' writes.
var laggingGroup = ctmembers.Options{
	Name: "g", Members: 3, Slots: 2, QueueDepth: 16,
	StatementDelay: time.Millisecond, ConnectDelay: 2 * time.Millisecond, Connections: 20, LagEntries: 1000,
}

// assertReadsNewest checks that a bounded read returns the newest data after more than the
// route's staleness has passed since the write, while the session at the old primary goes
// on.
func assertReadsNewest(t *testing.T, f *fixture, old, reader *caller) {
	t.Helper()
	f.clock.ahead.Add(int64(maxStaleness))
	answer, _ := old.call(t, ctquery.Read{Item: "i"})
	assert.Assert(t, answer.OK(), "%s", answer.Text)
	answer, _ = reader.call(t, ctquery.Read{Item: "i"})
	assert.Assert(t, answer.OK(), "%s", answer.Text)
	assert.Equal(t, answer.Rows[0], "new")
}

// TestSamplesOfReplacedPrimary guards against reads on stale replicas because the position
// of a member that has become a replica counted as the end of the log (review/2, rule
// STALE).
func TestSamplesOfReplacedPrimary(t *testing.T) {
	open := func(t *testing.T, w way) (f *fixture, old, reader *caller) {
		f = newFixtureWith(t, w, laggingGroup, ctconfig.FreshnessBounded)
		f.group.Commit("i", "old")
		old, reader = f.connectTo(t, "o", primaryDatabase), f.connect(t, "r")
		old.call(t, ctquery.Begin{ReadOnly: true})
		answer, _ := old.call(t, ctquery.Read{Item: "i"})
		assert.Assert(t, answer.OK(), "%s", answer.Text)
		return f, old, reader
	}
	forEachWay(t, "a read transaction that goes on there gives none", func(t *testing.T, w way) {
		f, old, reader := open(t, w)
		f.group.Promote(ctmembers.MemberName(1))
		f.replacePrimary()
		f.group.Commit("i", "new")
		assertReadsNewest(t, f, old, reader)
	})
	forEachWay(t, "nor once the fence of the change is enforced", func(t *testing.T, w way) {
		f, old, reader := open(t, w)
		f.setGroup(ctview.Group{Term: 1, Primary: ctmembers.MemberName(0), Fence: 2})
		f.group.Promote(ctmembers.MemberName(1))
		f.group.Commit("i", "new")
		f.clock.ahead.Add(int64(maxStaleness))
		answer, _ := old.call(t, ctquery.Read{Item: "i"})
		assert.Assert(t, answer.OK(), "%s", answer.Text)
		id := reader.send(ctquery.Read{Item: "i"})
		f.replacePrimary()
		answer = reader.awaitAnswer(t, id)
		assert.Assert(t, answer.OK(), "%s", answer.Text)
		assert.Equal(t, answer.Rows[0], "new")
	})
}
