package ctsoak

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/platform"
	"github.com/cherviltrestle/cherviltrestle/platform/ctpeer"
)

// assertApplied checks which invariants a proxy violates by its answer to a probe of a release.
// Releases 2 and 5 were sent, and acknowledged some time ago.
func assertApplied(
	t *testing.T, release ctid.Release, fault ctquery.Fault, acknowledged time.Duration, inTouch bool, want ...Invariant,
) {
	t.Helper()
	f := newFixture()
	o := newOperator(&Fleet{checker: f.checker}, newRandom(1, 1))
	at := time.Now().Add(-acknowledged)
	for _, sent := range []ctid.Release{2, 5} {
		o.sent[sent], o.acknowledged[sent] = []byte("x"), at
	}
	o.checkApplied(&host{}, release, ctpeer.Answer{Fault: fault}, time.Now(), inTouch)
	f.assertViolations(t, want...)
}

// TestAppliedRelease covers proxies that act on a configuration that isn't in force.
func TestAppliedRelease(t *testing.T) {
	const late, soon = 2 * applyTimeout, applyTimeout / 2
	const served, noDatabase = ctquery.FaultNone, ctquery.FaultNoDatabase
	t.Run("the newest", func(t *testing.T) { assertApplied(t, 5, served, late, true) })
	t.Run("an older one", func(t *testing.T) { assertApplied(t, 2, served, late, true, InvariantConfig) })
	t.Run("an older one, soon", func(t *testing.T) { assertApplied(t, 2, served, soon, true) })
	t.Run("an older one, after a fault", func(t *testing.T) { assertApplied(t, 2, served, late, false) })
	t.Run("not the newest", func(t *testing.T) { assertApplied(t, 5, noDatabase, late, true, InvariantConfig) })
	t.Run("not the newest, soon", func(t *testing.T) { assertApplied(t, 5, noDatabase, soon, true) })
	t.Run("not the newest, after a fault", func(t *testing.T) { assertApplied(t, 5, noDatabase, late, false) })
	t.Run("not an older one", func(t *testing.T) { assertApplied(t, 2, noDatabase, late, true) })
	t.Run("one that is not valid", func(t *testing.T) { assertApplied(t, 4, served, soon, false, InvariantConfig) })
}

// TestOtherContent checks that the other content of a release differs in its database only.
func TestOtherContent(t *testing.T) {
	f := newFixture()
	o := newOperator(&Fleet{checker: f.checker, groups: []*Group{f.group}}, newRandom(1, 1))
	body, err := o.render(4)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(body, []byte(`release-4"`)))
	assert.Assert(t, !bytes.Contains(otherContent(4, body), []byte(`release-4"`)))
	_, document, err := platform.ParseConfig(otherContent(4, body))
	assert.NilError(t, err)
	_, found := document.Route("other-4")
	assert.Assert(t, found)
}
