package ctconfig_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// drawDocument generates a small random document.
func drawDocument(t *rapid.T) ctconfig.Document {
	var d ctconfig.Document
	d.Defaults.Reads.MaxAge = ctconfig.Duration(rapid.IntRange(0, 2).Draw(t, "age"))
	for _, name := range []ctid.Group{"a", "b", "c"} {
		if size := rapid.IntRange(0, 2).Draw(t, "size"); size > 0 {
			d.Groups = append(d.Groups, ctconfig.Group{Name: name, Size: size})
		}
		if depth := rapid.IntRange(0, 2).Draw(t, "depth"); depth > 0 {
			e := ctconfig.Exception{Group: name, Reason: "load"}
			e.Settings.Sessions.QueueDepth = depth
			d.Exceptions = append(d.Exceptions, e)
		}
	}
	return d
}

// sortEntries sorts the groups and exceptions of the document in place and returns it.
func sortEntries(d ctconfig.Document) ctconfig.Document {
	slices.SortFunc(d.Groups, func(a, b ctconfig.Group) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Exceptions, func(a, b ctconfig.Exception) int { return cmp.Compare(a.Group, b.Group) })
	return d
}

// assertSameDocument compares two documents, apart from the order of their entries.
func assertSameDocument(t assert.TestingT, got, want ctconfig.Document) {
	got, want = sortEntries(got), sortEntries(want)
	assert.Equal(t, got.Defaults, want.Defaults)
	assert.Assert(t, slices.Equal(got.Groups, want.Groups), "%v is not %v", got.Groups, want.Groups)
	assert.Assert(t, slices.Equal(got.Exceptions, want.Exceptions), "%v is not %v", got.Exceptions, want.Exceptions)
}

// TestPatchedMatchesTarget checks, for random documents, that the patch from one
// document to another produces the latter and does not modify the former.
func TestPatchedMatchesTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawDocument(t), drawDocument(t)
		original := before
		original.Groups = slices.Clone(before.Groups)
		patch := ctconfig.Diff(&before, &after)
		assertSameDocument(t, before.WithPatch(&patch), after)
		assertSameDocument(t, before, original)
	})
}

func TestPatch(t *testing.T) {
	expiry := time.Unix(9, 0)
	document := ctconfig.Document{
		Groups:     []ctconfig.Group{{Name: "a", Size: 3}},
		Exceptions: []ctconfig.Exception{{Group: "a", Reason: "load", ExpiresAt: &expiry}},
	}
	t.Run("of equal documents has no groups and no exceptions", func(t *testing.T) {
		equalExpiry := time.Unix(9, 0)
		other := document
		other.Exceptions = []ctconfig.Exception{{Group: "a", Reason: "load", ExpiresAt: &equalExpiry}}
		patch := ctconfig.Diff(&document, &other)
		assert.Equal(t, len(patch.Groups)+len(patch.Exceptions), 0)
	})
	t.Run("is rejected with an invalid group size", func(t *testing.T) {
		patch := ctconfig.Patch{Groups: []ctconfig.Group{{Name: "a", Size: 0}}}
		assert.ErrorContains(t, patch.Check(), "size 0")
	})
}
