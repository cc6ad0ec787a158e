package ctcommand_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/program/ctcommand"
)

// result is the exit code and the output of a command line.
type result struct {
	code     int
	out, err string
}

// run runs a command line with the given environment variables.
func run(variables []string, arguments ...string) result {
	var out, err bytes.Buffer
	code := ctcommand.Main(arguments, ctcommand.Environment{Variables: variables, Out: &out, Err: &err})
	return result{code: code, out: out.String(), err: err.String()}
}

// assertFails asserts the exit code, and that the text is part of the error output.
func assertFails(t *testing.T, r result, code int, text string) {
	t.Helper()
	assert.Equal(t, r.code, code, r.err)
	assert.Assert(t, bytes.Contains([]byte(r.err), []byte(text)), r.err)
}

func TestSettings(t *testing.T) {
	t.Run("the settings page matches the code", func(t *testing.T) {
		page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "SETTINGS.md"))
		assert.NilError(t, err)
		assert.Equal(t, run(nil, "settings").out, string(page),
			"run 'cherviltrestle settings > docs/SETTINGS.md'")
	})
	for _, refused := range []struct {
		name      string
		variables []string
		arguments []string
		errorText string
	}{
		{"a missing setting", nil, []string{"proxy"}, "CHERVILTRESTLE_HTTP_LISTEN"},
		{"a host name", nil, []string{"proxy", "--listen", "localhost:1"}, "IP number"},
		{"a misspelt variable", []string{"CHERVILTRESTLE_LISTN=x"}, []string{"proxy"}, "CHERVILTRESTLE_LISTN"},
		{"a bad value of a variable", []string{"CHERVILTRESTLE_HEARTBEAT=soon"}, []string{"proxy"},
			"CHERVILTRESTLE_HEARTBEAT"},
		{"an unknown flag", nil, []string{"proxy", "--nothing"}, "--help"},
		{"a bad name", nil, []string{"proxy", "--name", "Not A Name"}, "lower-case"},
		{"an unknown command", nil, []string{"nothing"}, "nothing"},
		{"a call without an address", nil, []string{"status"}, "--control-http"},
		{"a missing file", nil, []string{"config", "check", "--file", "none.yaml"}, "--file"},
	} {
		t.Run("refuses "+refused.name, func(t *testing.T) {
			r := run(refused.variables, refused.arguments...)
			assert.Assert(t, r.code != 0)
			assertFails(t, r, r.code, refused.errorText)
		})
	}
}

func TestConfigCheck(t *testing.T) {
	check := func(t *testing.T, document string) result {
		t.Helper()
		file := filepath.Join(t.TempDir(), "config.yaml")
		assert.NilError(t, os.WriteFile(file, []byte(document), 0o600))
		return run(nil, "config", "check", "--file", file)
	}
	t.Run("accepts the example configuration", func(t *testing.T) {
		page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "examples", "config.yaml"))
		assert.NilError(t, err)
		assert.Equal(t, check(t, string(page)).code, 0)
	})
	for _, refused := range []struct{ name, text, errorText string }{
		{"an unknown field", "groupz: []", "groupz"},
		{"a group that is declared twice", "groups: [{name: g, size: 3}, {name: g, size: 3}]", "declared twice"},
		{"a size of 0", "groups: [{name: g, size: 0}]", "size 0"},
		{"a duration without a unit", "defaults: {reads: {max_age: \"5\"}}", "unit"},
		{"an exception without a reason",
			"groups: [{name: g, size: 3}]\nexceptions: [{group: g, settings: {}}]", "no reason"},
		{"an exception without its group", "groups: []\nexceptions: [{group: g, reason: x, settings: {}}]", "not declared"},
		{"a lease out of bounds", "defaults: {failovers: {lease_time: 1h}}", "lease_time"},
	} {
		t.Run("refuses "+refused.name, func(t *testing.T) {
			const usage = 2
			assertFails(t, check(t, refused.text), usage, refused.errorText)
		})
	}
}
