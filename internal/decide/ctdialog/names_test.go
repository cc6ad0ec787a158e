package ctdialog_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

// execute prepares a shape in a new session, executes it on a connection, and returns what the
// connection's member receives.
func execute(t *testing.T, conn *ctdialog.ConnectionState, shape ctquery.Shape) []ctquery.Statement {
	t.Helper()
	var d ctdialog.Dialog
	handle(&d, ctquery.Prepare{Name: "s1", Shape: shape})
	run, ok := handle(&d, ctquery.Execute{Name: "s1", Arguments: "1"}).(ctdialog.Run)
	assert.Assert(t, ok)
	return append(statementsOf(conn.Update(d.State(), run.Query.Statement)), run.Query.Statement)
}

// nameOf returns the name under which a shape is prepared and executed on a connection.
func nameOf(t *testing.T, shape ctquery.Shape) string {
	t.Helper()
	statements := execute(t, &ctdialog.ConnectionState{}, shape)
	assert.Equal(t, len(statements), 2)
	prepare, execute := statements[0].(ctquery.Prepare), statements[1].(ctquery.Execute)
	assert.Equal(t, prepare.Name, execute.Name)
	assert.Equal(t, prepare.Shape, shape)
	return prepare.Name
}

// TestPreparedNamesContainNoCallersText guards against a shape that a member takes for the name
// of another one: "READ q5 READ im" was prepared as r_q5, and ran for those who prepared q5.
func TestPreparedNamesContainNoCallersText(t *testing.T) {
	shapes := []ctquery.Shape{
		{Text: "q5"}, {Text: "q5 READ im"}, {Text: "q5 "}, {Text: "q5\r"}, {Text: "\xff"}, {Text: "q5", Writes: true},
		{Text: "EADq5", Writes: true}, {Text: "r_q5"}, {Text: strings.Repeat("x", 1<<20)},
	}
	names := make(map[string]bool)
	for _, shape := range shapes {
		name := nameOf(t, shape)
		assert.Equal(t, strings.Trim(name, "0123456789abcdef"), "")
		assert.Equal(t, len(name), 32)
		names[name] = true
	}
	assert.Equal(t, len(names), len(shapes))
}
