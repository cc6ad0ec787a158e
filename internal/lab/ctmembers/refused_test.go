package ctmembers_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctmembers"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

// assertCall checks the fault in the answer to a statement and the state after it.
func assertCall(
	t *testing.T, c *caller, statement ctquery.Statement, fault ctquery.Fault, state ctquery.Transaction,
) {
	t.Helper()
	answer, _ := c.call(t, statement)
	assert.Equal(t, answer.Fault, fault, "%T: %s", statement, answer.Text)
	assert.Equal(t, answer.Transaction, state)
}

// inBothWays runs a subtest for each way of a statement to a member.
func inBothWays(t *testing.T, options ctmembers.Options, run func(t *testing.T, f *fixture, c *caller)) {
	t.Helper()
	for _, w := range []way{direct, forwarded} {
		t.Run(string(w), func(t *testing.T) {
			f := newFixtureWith(t, w, options, ctconfig.FreshnessPrimary)
			run(t, f, f.connect(t, "c"))
			assertNoViolations(t, f)
		})
	}
}

// TestStatementThatFitsOnNoLine guards against a write that is reported as in doubt, or that
// costs a connection, though it was never sent.
func TestStatementThatFitsOnNoLine(t *testing.T) {
	options := smallGroup
	options.MaxArgumentsBytes = 10
	large := ctquery.Write{Arguments: ctquery.Text("c " + strings.Repeat("x", options.MaxArgumentsBytes))}
	small := ctquery.Write{Arguments: "c 1"}
	inBothWays(t, options, func(t *testing.T, f *fixture, c *caller) {
		assertCall(t, c, small, ctquery.FaultNone, ctquery.TransactionNone)
		assertCall(t, c, large, ctquery.FaultTooLarge, ctquery.TransactionNone)
		assertCall(t, c, ctquery.Begin{}, ctquery.FaultNone, ctquery.TransactionOpen)
		assertCall(t, c, large, ctquery.FaultTooLarge, ctquery.TransactionFailed)
		assertCall(t, c, ctquery.Rollback{}, ctquery.FaultNone, ctquery.TransactionNone)
		assertCall(t, c, ctquery.Begin{}, ctquery.FaultNone, ctquery.TransactionOpen)
		assertCall(t, c, small, ctquery.FaultNone, ctquery.TransactionOpen)
		assertCall(t, c, large, ctquery.FaultTooLarge, ctquery.TransactionFailed)
		assertCall(t, c, ctquery.Commit{}, ctquery.FaultAborted, ctquery.TransactionNone)
		assertCall(t, c, small, ctquery.FaultNone, ctquery.TransactionNone)
		assert.Equal(t, f.group.CloseCount(ctmembers.MemberName(0)), 0)
		counts := f.group.WriteCounts()
		assert.Equal(t, len(counts), 2, "%v", counts)
	})
}

// TestRefusedTextIsLogged guards against a refused query that can't be told from one that the
// caller never sent.
func TestRefusedTextIsLogged(t *testing.T) {
	f := newFixture(t, smallGroup, ctconfig.FreshnessPrimary)
	c := f.connect(t, "c")
	m := ctquery.Malformed{Reason: ctquery.MalformedLineFeed, Offset: 14, Byte: '\n'}
	answer, id := c.call(t, m)
	assert.Equal(t, answer.Fault, ctquery.FaultMalformed)
	want := fmt.Sprintf(`"decision":"refuse_text","request":%q,"session":1,"database":"db",`, id) +
		`"why":"line_feed","offset":14,"byte":10`
	assert.Assert(t, strings.Contains(f.log.String(), want), f.log.String())
	assertNoViolations(t, f)
}

// TestMemberThatLostAName guards against a connection that is used again though its member no
// longer knows the statements prepared on it.
func TestMemberThatLostAName(t *testing.T) {
	prepare := ctquery.Prepare{Name: "s", Shape: ctquery.Shape{Writes: true, Text: "w"}}
	execute := ctquery.Execute{Name: "s", Arguments: "c 1"}
	inBothWays(t, smallGroup, func(t *testing.T, f *fixture, c *caller) {
		assertCall(t, c, prepare, ctquery.FaultNone, ctquery.TransactionNone)
		assertCall(t, c, execute, ctquery.FaultNone, ctquery.TransactionNone)
		t.Run("outside a transaction", func(t *testing.T) {
			f.group.LoseNames(1)
			assertCall(t, c, execute, ctquery.FaultNone, ctquery.TransactionNone)
		})
		for _, statements := range [][]ctquery.Statement{nil, {ctquery.Write{Arguments: "c 2"}}} {
			t.Run("in a transaction", func(t *testing.T) {
				assertCall(t, c, ctquery.Begin{}, ctquery.FaultNone, ctquery.TransactionOpen)
				for _, statement := range statements {
					assertCall(t, c, statement, ctquery.FaultNone, ctquery.TransactionOpen)
				}
				f.group.LoseNames(1)
				answer, _ := c.call(t, execute)
				promise := answer.Fault == ctquery.FaultAborted || answer.Fault == ctquery.FaultBusy
				assert.Assert(t, answer.OK() || promise, "%+v", answer)
				assertCall(t, c, ctquery.Rollback{}, ctquery.FaultNone, ctquery.TransactionNone)
				assertCall(t, c, execute, ctquery.FaultNone, ctquery.TransactionNone)
			})
		}
		t.Run("prepared again under its name", func(t *testing.T) {
			assertCall(t, c, prepare, ctquery.FaultNone, ctquery.TransactionNone)
			assertCall(t, c, ctquery.Deallocate{Name: "s"}, ctquery.FaultNone, ctquery.TransactionNone)
			assertCall(t, c, execute, ctquery.FaultNoStatement, ctquery.TransactionNone)
			assertCall(t, c, ctquery.Begin{}, ctquery.FaultNone, ctquery.TransactionOpen)
			assertCall(t, c, prepare, ctquery.FaultNone, ctquery.TransactionOpen)
			assertCall(t, c, execute, ctquery.FaultNone, ctquery.TransactionOpen)
			assertCall(t, c, ctquery.Commit{}, ctquery.FaultNone, ctquery.TransactionNone)
		})
	})
}
