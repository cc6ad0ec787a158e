package ctview_test

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Numbers outside of their range must not reach the leader's sums.
func TestQuotaCheck(t *testing.T) {
	valid := ctview.QuotaDemand{Workspace: "w", Cap: 1, Started: 2, Refused: 3}
	t.Run("a valid demand", func(t *testing.T) { assert.NilError(t, valid.Check()) })
	for _, n := range []ctid.Operations{-1, ctview.MaxOperations + 1, math.MaxInt64, math.MinInt64} {
		t.Run(fmt.Sprintf("%d operations", n), func(t *testing.T) {
			for _, d := range []ctview.QuotaDemand{
				{Workspace: "w", Cap: n}, {Workspace: "w", Started: n}, {Workspace: "w", Refused: n},
			} {
				assertQuotaInvalid(t, d.Check())
			}
			grant := ctview.QuotaGrant{Caps: []ctview.QuotaCap{{Workspace: "w", Cap: n}}}
			assertQuotaInvalid(t, grant.Check())
		})
	}
	t.Run("a workspace without a name", func(t *testing.T) {
		demand := ctview.QuotaDemand{}
		assertQuotaInvalid(t, demand.Check())
		grant := ctview.QuotaGrant{Caps: []ctview.QuotaCap{{}}}
		assertQuotaInvalid(t, grant.Check())
	})
	t.Run("a negative duration of authority or of a write lease", func(t *testing.T) {
		reply := ctview.Reply{AuthorityTTL: -1}
		assertQuotaInvalid(t, reply.Check())
		reply = ctview.Reply{Leases: []ctview.Lease{{Group: "g", TTL: -1}}}
		assertQuotaInvalid(t, reply.Check())
	})
	t.Run("a negative duration", func(t *testing.T) {
		grant := ctview.QuotaGrant{TTL: -1}
		assertQuotaInvalid(t, grant.Check())
	})
}

func assertQuotaInvalid(t *testing.T, err error) {
	t.Helper()
	assert.Equal(t, cterror.KindOf(err), cterror.Invalid, "%v", err)
}

// A demand is accepted exactly if all of its fields are.
func TestQuotaCheckProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := ctview.QuotaDemand{
			Workspace: ctid.Workspace(rapid.StringN(0, 300, 300).Draw(t, "name")),
			Cap:       ctid.Operations(rapid.Int64().Draw(t, "cap")), Started: ctid.Operations(rapid.Int64().Draw(t, "started")),
			Refused: ctid.Operations(rapid.Int64Range(-2, 2).Draw(t, "refused")),
		}
		valid := d.Workspace.Check() == nil
		for _, n := range []ctid.Operations{d.Cap, d.Started, d.Refused} {
			valid = valid && n >= 0 && n <= ctview.MaxOperations
		}
		assert.Equal(t, d.Check() == nil, valid)
	})
}
