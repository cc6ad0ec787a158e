package ctdialog

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

// TestStateBytes guards against a size of the session state that drifts from its contents, and against a
// statement that adds more than BytesAdded said.
func TestStateBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var dialog Dialog
		for range 30 {
			name := rapid.SampledFrom([]string{"a", "bb", "ccc"}).Draw(t, "name")
			text := ctquery.Text(rapid.StringN(1, 50, 50).Draw(t, "text"))
			statement := rapid.SampledFrom([]ctquery.Statement{
				ctquery.Set{Name: ctquery.Word(name), Value: text},
				ctquery.Prepare{Name: ctquery.Word(name), Shape: ctquery.Shape{Text: text}},
				ctquery.Deallocate{Name: ctquery.Text(name)},
			}).Draw(t, "statement")
			before := dialog.State().Bytes()
			dialog.HandleQuery(ctquery.Query{Statement: statement})
			assert.Assert(t, dialog.State().Bytes() <= before+BytesAdded(statement))
			sum := 0
			for name, value := range dialog.state.parameters {
				sum += parameterBytes(name, value)
			}
			for name, p := range dialog.state.prepared {
				sum += preparedBytes(name, p.shape)
			}
			assert.Equal(t, dialog.State().Bytes(), sum)
		}
	})
}
