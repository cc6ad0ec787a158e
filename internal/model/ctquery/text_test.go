package ctquery_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

// Guards against log lines that are as long as a caller's ID.
func TestLoggedIDsAreShort(t *testing.T) {
	for id, want := range map[ctquery.ID]string{
		"":                                     "",
		"5c0e7a21d94b36f8":                     "5c0e7a21d94b36f8",
		ctquery.ID(strings.Repeat("x", 1<<20)): strings.Repeat("x", 64),
	} {
		assert.Equal(t, id.ForLog(), want)
	}
}
