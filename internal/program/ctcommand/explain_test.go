package ctcommand_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// entryLog and holderLog are the logs of the two processes that served request
// proxy-1/5/7/1. The first one also served a request of session 77, which must not be
// taken for session 7. The second one crashed.
const (
	entryLog = `{"decision":"route","request":"proxy-1/5/7/1","why":"write_needs_primary",` +
		`"process":"proxy-1","time":"2026-12-04T10:00:00.000000001Z"}
{"decision":"outcome","request":"proxy-1/5/7/1","outcome":"ran",` +
		`"process":"proxy-1","time":"2026-12-04T10:00:00.3Z"}
{"decision":"outcome","request":"proxy-1/5/77/1","outcome":"ran",` +
		`"process":"proxy-1","time":"2026-12-04T10:00:00.4Z"}
`
	holderLog = `{"decision":"admit","request":"proxy-1/5/7/1","why":"slot_free",` +
		`"process":"proxy-2","time":"2026-12-04T10:00:00.2Z"}
panic: not JSON
`
)

// writeLogs writes both logs to a new folder and returns its path.
func writeLogs(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(folder, "a.log"), []byte(entryLog), 0o600))
	assert.NilError(t, os.WriteFile(filepath.Join(folder, "b.log"), []byte(holderLog), 0o600))
	return folder
}

// assertDecisions asserts success and that each line of output contains the wanted
// text of the same index.
func assertDecisions(t *testing.T, r result, want ...string) {
	t.Helper()
	assert.Equal(t, r.code, 0, r.err)
	lines := strings.Split(strings.TrimSpace(r.out), "\n")
	assert.Equal(t, len(lines), len(want), r.out)
	for i, w := range want {
		assert.Assert(t, strings.Contains(lines[i], w), lines[i])
	}
}

func TestExplainRequest(t *testing.T) {
	t.Run("shows the decisions of all processes sorted by time", func(t *testing.T) {
		r := run(nil, "explain", "request", "proxy-1/5/7/1", "--logs", writeLogs(t))
		assertDecisions(t, r, "proxy-1 route why=write_needs_primary", "proxy-2 admit", "outcome=ran")
	})
	t.Run("shows the decisions on a session's requests", func(t *testing.T) {
		r := run(nil, "explain", "request", "proxy-1/5/7", "--logs", writeLogs(t))
		assertDecisions(t, r, "route", "admit", "outcome")
	})
	t.Run("fails when no decision is found", func(t *testing.T) {
		assertFails(t, run(nil, "explain", "request", "proxy-9/1/1/1", "--logs", writeLogs(t)), 1, "--logs")
	})
	t.Run("fails without logs", func(t *testing.T) {
		assertFails(t, run(nil, "explain", "request", "proxy-9/1/1/1"), 2, "--logs")
	})
	t.Run("refuses a missing log", func(t *testing.T) {
		assertFails(t, run(nil, "explain", "request", "x", "--logs", "none.log"), 2, "none.log")
	})
}
