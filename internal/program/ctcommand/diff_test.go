package ctcommand_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// acceptedConfig is control's answer with one accepted change.
const acceptedConfig = `[{"revision":7,"at":"2026-12-04T10:00:00Z","change":{"id":"c","base":6,"author":"lab",` +
	`"document":{"groups":[{"name":"charts","size":3},{"name":"old","size":3}]}}}]`

func TestConfigDiff(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(acceptedConfig))
	}))
	t.Cleanup(server.Close)
	file := filepath.Join(t.TempDir(), "config.yaml")
	assert.NilError(t, os.WriteFile(file, []byte("groups: [{name: charts, size: 5}]\n"), 0o600))
	address := strings.TrimPrefix(server.URL, "http://")
	r := run(nil, "config", "diff", "--file", file, "--control-http", address)
	assert.Equal(t, r.code, 0, r.err)
	assert.Equal(t, r.out, "against revision 7; apply with --base 7\n+ group charts: size 5\n- group old\n")
}
