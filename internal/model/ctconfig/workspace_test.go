package ctconfig_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

func digests(secrets ...string) []ctid.KeyDigest {
	var keys []ctid.KeyDigest
	for _, s := range secrets {
		keys = append(keys, ctid.NewKey(s).Digest())
	}
	return keys
}

// TestWorkspaceChecks guards against configurations in which a key or a limit has no meaning.
func TestWorkspaceChecks(t *testing.T) {
	limit := func(perSecond, burst float64) *ctconfig.RateLimit {
		return &ctconfig.RateLimit{PerSecond: perSecond, Burst: burst}
	}
	for _, c := range []struct {
		name       string
		workspaces []ctconfig.Workspace
		want       string
	}{
		{"different keys", []ctconfig.Workspace{{Name: "a", Keys: digests("1", "2")}, {Name: "b", Keys: digests("3")}}, ""},
		{"a key twice in one workspace", []ctconfig.Workspace{{Name: "a", Keys: digests("1", "1")}}, ""},
		{"a limit of nothing", []ctconfig.Workspace{{Name: "a", Limit: limit(0, 0)}}, ""},
		{"a key in two workspaces", []ctconfig.Workspace{{Name: "a", Keys: digests("1")}, {Name: "b", Keys: digests("1")}},
			"share a key"},
		{"two of one name", []ctconfig.Workspace{{Name: "a"}, {Name: "a"}}, "declared twice"},
		{"no name", []ctconfig.Workspace{{}}, "empty"},
		{"a name with a blank", []ctconfig.Workspace{{Name: "a b"}}, "invalid character"},
		{"a name with a line end", []ctconfig.Workspace{{Name: "a\r\nb"}}, "invalid character"},
		{"an empty key", []ctconfig.Workspace{{Name: "a", Keys: digests("")}}, "empty key"},
		{"a negative rate", []ctconfig.Workspace{{Name: "a", Limit: limit(-1, 0)}}, "rate limit"},
		{"a burst that is no number", []ctconfig.Workspace{{Name: "a", Limit: limit(1, math.NaN())}}, "rate limit"},
		{"a negative priority", []ctconfig.Workspace{{Name: "a", Priority: -1}}, "priority"},
	} {
		t.Run(c.name, func(t *testing.T) {
			document := ctconfig.Document{Workspaces: c.workspaces}
			if c.want == "" {
				assert.NilError(t, document.Check())
				return
			}
			assert.ErrorContains(t, document.Check(), c.want)
		})
	}
}

// TestWorkspacePatch guards against proxies that go on with a withdrawn key after a patch.
func TestWorkspacePatch(t *testing.T) {
	before := ctconfig.Document{
		RequireKeys: true,
		Workspaces:  []ctconfig.Workspace{{Name: "a", Keys: digests("1", "2")}, {Name: "b", Keys: digests("3")}},
	}
	after := ctconfig.Document{
		RequireKeys: true,
		Workspaces:  []ctconfig.Workspace{{Name: "a", Keys: digests("2")}, {Name: "c", Keys: digests("3")}},
	}
	patch := ctconfig.Diff(&before, &after)
	assert.NilError(t, patch.Check())
	patched := before.WithPatch(&patch)
	assert.NilError(t, patched.Check())
	assert.Assert(t, patched.RequireKeys)
	a, ok := patched.Workspace("a")
	assert.Assert(t, ok)
	assert.DeepEqual(t, a.Keys, digests("2"))
	_, ok = patched.Workspace("b")
	assert.Assert(t, !ok)
}
