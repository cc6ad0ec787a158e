package ctcommand_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/link/cthttp"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctgateway"
)

// newPlacementServer returns the address of a server that answers for the database "db".
func newPlacementServer(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		if r.URL.Path != ctgateway.PlacementPath || query.Get("database") != "db" {
			cthttp.WriteError(w, cterror.New(cterror.Invalid, "no route has the database", "name a database of a route"))
			return
		}
		cthttp.WriteJSON(w, http.StatusOK, ctgateway.Placement{
			Database: "db", Workspace: ctid.Workspace(query.Get("workspace")), Group: "g", Proxy: "p1", Member: "m1",
			Why: "near", Kind: ctgateway.StatementKind(query.Get("kind")),
			Members: []ctgateway.PlacementMember{
				{Member: "m1", Class: "near", WaitMS: 17, HintAgeMS: -1, Standing: "serving", Through: []ctid.Proxy{"p2", "p3"}},
				{Member: "m2", Primary: true, Excluded: "primary_not_allowed"},
			},
		})
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestExplainPlacement guards against an explanation that leaves out the choice, the excluded
// members or the errors of the proxy.
func TestExplainPlacement(t *testing.T) {
	address := newPlacementServer(t)
	t.Run("as a table", func(t *testing.T) {
		r := run(nil, "explain", "placement", "db", "--proxy", address, "--workspace", "w")
		assertDecisions(t, r, "read of db: member m1 of group g (near)", "MEMBER", "17 ms", "primary_not_allowed")
		assert.Assert(t, strings.Contains(r.out, "p2,p3"), r.out)
	})
	t.Run("as JSON", func(t *testing.T) {
		r := run(nil, "explain", "placement", "db", "--proxy", address, "--kind", "write", "--json")
		var placement ctgateway.Placement
		assert.NilError(t, json.Unmarshal([]byte(r.out), &placement), r.out)
		assert.Equal(t, placement.Kind, ctgateway.KindWrite)
		assert.Equal(t, len(placement.Members), 2)
	})
	for _, c := range []struct {
		name, errorText string
		arguments       []string
	}{
		{"an unknown database", "no route", []string{"other", "--proxy", address}},
		{"an unknown kind", "use read, write or transaction", []string{"db", "--proxy", address, "--kind", "x"}},
		{"no proxy", "--proxy", []string{"db"}},
	} {
		t.Run("refuses "+c.name, func(t *testing.T) {
			assertFails(t, run(nil, append([]string{"explain", "placement"}, c.arguments...)...), 2, c.errorText)
		})
	}
}
