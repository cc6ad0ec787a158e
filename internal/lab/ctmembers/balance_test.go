package ctmembers_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctplace"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctmembers"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctgateway"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// firstMember returns what the proxy knows of the first member, which is the primary.
func (f *fixture) firstMember(t *testing.T) ctpools.MemberState {
	t.Helper()
	var held ctlock.Held
	state, ok := f.pools.Member(&held, ctmembers.MemberName(0))
	assert.Assert(t, ok)
	return state
}

// readUntil reads until done returns true. The clock is advanced before each read, so that the
// member that failed last is not avoided any more.
func (f *fixture) readUntil(t *testing.T, c *caller, done func() bool) {
	t.Helper()
	for range 500 {
		if done() {
			return
		}
		f.clock.ahead.Add(int64(600 * time.Millisecond))
		answer, _ := c.call(t, ctquery.Read{Item: "x"})
		assert.Assert(t, answer.OK(), "%s", answer.Text)
	}
	t.Fatal("not reached")
}

// TestBalancedChoice guards against a choice that is balanced where it is not enabled, and
// against loads that the forwarding proxy does not report.
func TestBalancedChoice(t *testing.T) {
	for _, w := range []way{direct, forwarded} {
		t.Run(string(w), func(t *testing.T) {
			t.Run("with workspaces", func(t *testing.T) {
				f := newConfiguredFixture(t, w, smallGroup, ctconfig.FreshnessPrimary, withWorkspaces(1))
				c := f.connectAs(t, "w0.reader", "w0")
				answer, _ := c.call(t, ctquery.Read{Item: "x"})
				assert.Assert(t, answer.OK(), "%s", answer.Text)
				assert.Assert(t, strings.Contains(f.log.String(), `"choice":"only"`))
				assert.Equal(t, !f.firstMember(t).Hint.ReceivedAt.IsZero(), w == forwarded)
			})
			t.Run("with the setting", func(t *testing.T) {
				f := newFixtureWith(t, w, smallGroup, ctconfig.FreshnessPrimary)
				f.pools.Policy = ctplace.Balanced{}
				f.configure(t, func(*ctconfig.Document) {})
				answer, _ := f.connect(t, "reader").call(t, ctquery.Read{Item: "x"})
				assert.Assert(t, answer.OK(), "%s", answer.Text)
				assert.Assert(t, strings.Contains(f.log.String(), `"choice":"only"`))
			})
			t.Run("without workspaces", func(t *testing.T) {
				f := newFixtureWith(t, w, smallGroup, ctconfig.FreshnessPrimary)
				answer, _ := f.connect(t, "reader").call(t, ctquery.Read{Item: "x"})
				assert.Assert(t, answer.OK(), "%s", answer.Text)
				assert.Assert(t, !strings.Contains(f.log.String(), `"choice"`))
				assert.Assert(t, f.firstMember(t).Hint.ReceivedAt.IsZero())
			})
		})
	}
}

// TestExplainedPlacement guards against an explanation that differs from the decision, or sends
// something to a member.
func TestExplainedPlacement(t *testing.T) {
	f := newConfiguredFixture(t, forwarded, smallGroup, ctconfig.FreshnessPrimary, withWorkspaces(1))
	c := f.connectAs(t, "w0.reader", "w0")
	answer, _ := c.call(t, ctquery.Read{Item: "x"})
	assert.Assert(t, answer.OK(), "%s", answer.Text)
	ran := len(f.group.Workspaces())
	placement, err := f.gateway.Explain("db", "w0", ctgateway.KindRead)
	assert.NilError(t, err)
	assert.Equal(t, placement.Member, ctmembers.MemberName(0))
	assert.Equal(t, placement.Why, ctplace.ReasonOnly)
	assert.Equal(t, len(placement.Members), smallGroup.Members)
	assert.Assert(t, len(placement.Members[0].Through) > 0 && placement.Members[0].HintAgeMS >= 0)
	assert.Equal(t, placement.Members[1].Excluded, "replica_not_allowed")
	assert.Equal(t, len(f.group.Workspaces()), ran)
	for _, refused := range []struct{ database, workspace, kind string }{
		{"none", "w0", "read"}, {"db", "none", "read"}, {"db", "w0", "none"},
	} {
		_, err := f.gateway.Explain(
			ctid.Database(refused.database), ctid.Workspace(refused.workspace), ctgateway.StatementKind(refused.kind))
		assert.Equal(t, cterror.KindOf(err), cterror.Invalid)
	}
}

// TestFailingMemberEjected guards against reads that are sent to a member again and again although
// it fails them, and against one that stays ejected after it has recovered.
func TestFailingMemberEjected(t *testing.T) {
	for _, w := range []way{direct, forwarded} {
		t.Run(string(w), func(t *testing.T) {
			f := newConfiguredFixture(t, w, smallGroup, ctconfig.FreshnessBounded, withWorkspaces(1))
			c := f.connectAs(t, "w0.reader", ctid.Workspace("w0"))
			f.group.FailReads(ctmembers.MemberName(0))
			f.readUntil(t, c, func() bool {
				_, ejected := f.firstMember(t).Standing.(ctplace.Ejected)
				return ejected
			})
			f.group.FailReads("")
			f.readUntil(t, c, func() bool {
				return f.firstMember(t).Standing == ctplace.Serving{}
			})
		})
	}
}
