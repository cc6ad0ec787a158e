package ctquota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// assertWithinCeilings checks that no window of any workspace has more operations than the
// highest ceiling that counts in it.
func assertWithinCeilings(t assert.TestingT, w *world) {
	window := w.bounds.WindowOrDefault()
	for i, starts := range w.starts {
		first := 0
		for last, at := range starts {
			for starts[first] <= at-window {
				first++
			}
			allowed := w.allowed(i, at)
			count := ctid.Operations(last - first + 1)
			assert.Assert(t, count <= allowed, "%s: %d operations in the window before %s, %d allowed",
				workspaceName(i), count, at, allowed)
		}
	}
}

// assertCapsWithinCeilings checks that the largest workspace would have stayed within its
// ceiling if all holders had used their caps at any moment.
func assertCapsWithinCeilings(t assert.TestingT, w *world) {
	for i, sum := range w.potentials {
		at := time.Duration(i) * w.step
		allowed := w.allowed(0, at)
		assert.Assert(t, sum <= allowed, "caps of %d in the window before %s, %d allowed", sum, at, allowed)
	}
}

// assertServed checks that at least a part of a workspace's demand was started since a time.
func assertServed(t *testing.T, w *world, workspace int, since time.Duration, part float64) {
	t.Helper()
	count := 0
	for _, at := range w.starts[workspace] {
		if at >= since {
			count++
		}
	}
	wanted := w.usual[workspace] * (w.now - since).Seconds() * part
	assert.Assert(t, float64(count) >= wanted, "%s: %d operations started of %.0f", workspaceName(workspace), count,
		wanted)
}

// allowed returns the highest ceiling of a workspace that counts in the window before a time.
func (w *world) allowed(workspace int, at time.Duration) ctid.Operations {
	allowed := ctid.Operations(0)
	for _, c := range w.ceilings[workspace] {
		if c.from <= at && c.until > at-w.bounds.WindowOrDefault() {
			allowed = max(allowed, c.operations)
		}
	}
	return allowed
}
