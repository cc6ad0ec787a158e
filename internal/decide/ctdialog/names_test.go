package ctdialog_test

import (
	"fmt"
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
	return string(prepare.Name)
}

// TestPreparedNamesContainNoCallersText guards against a shape that a member takes for the name
// of another one: "READ q5 READ im" was prepared as r_q5, and ran for those who prepared q5.
func TestPreparedNamesContainNoCallersText(t *testing.T) {
	shapes := []ctquery.Shape{
		{Text: "q5"}, {Text: "q5 READ im"}, {Text: "q5 "}, {Text: "q5\r"}, {Text: "\xff"}, {Text: "q5", Writes: true},
		{Text: "EADq5", Writes: true}, {Text: "r_q5"}, {Text: ctquery.Text(strings.Repeat("x", 1<<20))},
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

// preparedNames is a member's view of a connection: the names that it has prepared.
type preparedNames map[ctquery.Word]ctquery.Shape

// apply runs statements as a member does, and checks that executed names have their shapes.
func (p preparedNames) apply(t *testing.T, statements []ctquery.Statement, want ctquery.Shape) {
	t.Helper()
	for _, statement := range statements {
		switch s := statement.(type) {
		case ctquery.Reset:
			clear(p)
		case ctquery.Prepare:
			p[s.Name] = s.Shape
		case ctquery.Deallocate:
			_, ok := p[ctquery.Word(s.Name)]
			assert.Assert(t, ok, s.Name)
			delete(p, ctquery.Word(s.Name))
		case ctquery.Execute:
			assert.DeepEqual(t, p[s.Name], want)
		}
	}
}

// TestPreparedNamesAreBounded guards against a connection that collects the names of all
// shapes that its sessions ever prepared.
func TestPreparedNamesAreBounded(t *testing.T) {
	const maxNames = 256
	var conn ctdialog.ConnectionState
	names := preparedNames{}
	for round := range 2 {
		for i := range 3 * maxNames {
			shape := ctquery.Shape{Text: ctquery.Text(fmt.Sprint("q", i))}
			names.apply(t, execute(t, &conn, shape), shape)
			assert.Assert(t, len(names) <= maxNames, "round %d, shape %d", round, i)
		}
	}
}
