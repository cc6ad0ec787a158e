package ctowner_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctowner"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

func proxies(count int) []ctid.Proxy {
	var names []ctid.Proxy
	for i := range count {
		names = append(names, ctid.Proxy(fmt.Sprintf("10.1.0.%d", i)))
	}
	return names
}

// skewedShares returns workspaces whose loads fall with their rank, as those of a few large and
// many small customers do.
func skewedShares(count int) []ctowner.Share {
	var shares []ctowner.Share
	for i := range count {
		shares = append(shares, ctowner.Share{
			Workspace: ctid.Workspace(fmt.Sprintf("w%d", i)), Load: math.Pow(float64(i+1), -1.2),
		})
	}
	return shares
}

// loadsOf returns the load of each proxy if each workspace divides its load evenly among its owners.
func loadsOf(a ctowner.Assignment, shares []ctowner.Share) map[ctid.Proxy]float64 {
	loads := make(map[ctid.Proxy]float64)
	for _, s := range shares {
		owners := a.Owners(s.Workspace)
		for _, owner := range owners {
			loads[owner] += s.Load / float64(len(owners))
		}
	}
	return loads
}

// assertBalanced checks that no proxy has much more than the mean load. The smallest workspaces
// may not fit exactly.
func assertBalanced(t *testing.T, a ctowner.Assignment, names []ctid.Proxy, shares []ctowner.Share) {
	t.Helper()
	loads, total := loadsOf(a, shares), 0.0
	for _, load := range loads {
		total += load
	}
	for _, name := range names {
		assert.Assert(t, loads[name] <= 1.3*total/float64(len(names)), "%s has %.3f of %.3f", name, loads[name], total)
	}
}

// assertFewMoved checks that a workspace whose owners differ between two assignments is one that
// the changed proxy owns in either, up to a few that the bound on loads moves.
func assertFewMoved(t *testing.T, before, after ctowner.Assignment, shares []ctowner.Share, changed ctid.Proxy) {
	t.Helper()
	moved := 0
	for _, s := range shares {
		same := slices.Equal(before.Owners(s.Workspace), after.Owners(s.Workspace))
		if !same && !before.Owns(changed, s.Workspace) && !after.Owns(changed, s.Workspace) {
			moved++
		}
	}
	assert.Assert(t, moved <= len(shares)/4, "%d of %d workspaces moved", moved, len(shares))
}

func TestAssignment(t *testing.T) {
	names, shares := proxies(19), skewedShares(77)
	a := ctowner.Assign(names, shares)
	t.Run("no proxy is overloaded by workspaces of uneven size", func(t *testing.T) {
		assertBalanced(t, a, names, shares)
	})
	t.Run("a large workspace has several owners and a small one has one", func(t *testing.T) {
		assert.Assert(t, len(a.Owners("w0")) >= 3)
		assert.Equal(t, len(a.Owners("w76")), 1)
	})
	t.Run("the loss of a proxy moves few workspaces of others", func(t *testing.T) {
		rest := slices.DeleteFunc(slices.Clone(names), func(p ctid.Proxy) bool { return p == names[3] })
		assertFewMoved(t, a, ctowner.Assign(rest, shares), shares, names[3])
	})
	t.Run("the order of the proxies does not matter", func(t *testing.T) {
		reversed := slices.Clone(names)
		slices.Reverse(reversed)
		other := ctowner.Assign(reversed, shares)
		for _, s := range shares {
			assert.DeepEqual(t, a.Owners(s.Workspace), other.Owners(s.Workspace))
		}
	})
	t.Run("an owner uses its own connections, and others end at proxies that are no owners", func(t *testing.T) {
		owner := a.Owners("w5")[0]
		assert.Equal(t, a.Order(owner, "w5")[0], owner)
		order := a.Order("10.9.9.9", "w5")
		assert.Assert(t, a.Owns(order[0], "w5"))
		assert.Assert(t, !a.Owns(order[len(order)-1], "w5"))
	})
	t.Run("proxies spread over the owners of a large workspace", func(t *testing.T) {
		used := make(map[ctid.Proxy]bool)
		for i := range 100 {
			used[a.Order(ctid.Proxy(fmt.Sprintf("10.2.0.%d", i)), "w0")[0]] = true
		}
		assert.Equal(t, len(used), len(a.Owners("w0")))
	})
	t.Run("a workspace that is not declared has an owner", func(t *testing.T) {
		assert.Equal(t, len(a.Owners("")), 1)
	})
	t.Run("without proxies nobody owns anything", func(t *testing.T) {
		assert.Equal(t, len(ctowner.Assign(nil, shares).Order("p", "w0")), 0)
	})
}
