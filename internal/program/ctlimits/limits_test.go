package ctlimits_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquota"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlimits"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

const capTTL = ctconfig.Duration(2500 * time.Millisecond)

// ownedNames implements ctlimits.OwnedSource.
type ownedNames []ctid.Workspace

func (o ownedNames) OwnedWorkspaces() []ctid.Workspace { return o }

// fixture is a proxy's limits with a clock that the test moves.
type fixture struct {
	limits  *ctlimits.Limits
	clock   *ctclock.Manual
	metrics *ctmetric.Metrics
	// triggered counts the reports that were asked for.
	triggered atomic.Int64
	held      ctlock.Held
}

// newFixture returns the limits of a proxy that owns workspaces. The configuration limits the
// workspace "w".
func newFixture(owned ...ctid.Workspace) *fixture {
	f := &fixture{clock: &ctclock.Manual{}, metrics: ctmetric.New(prometheus.NewRegistry())}
	f.clock.Advance(time.Hour)
	f.limits = ctlimits.New(ctlimits.Options{
		Bounds: ctquota.Bounds{Window: 5 * time.Second}, Owned: ownedNames(owned), Clock: f.clock,
		Logger: zerolog.Nop(), Metrics: f.metrics, TriggerReport: func() { f.triggered.Add(1) },
	})
	f.configure(1, ctconfig.Workspace{Name: "w", Limit: &ctconfig.RateLimit{PerSecond: 1}},
		ctconfig.Workspace{Name: "free"})
	return f
}

// configure puts a configuration with workspaces into force.
func (f *fixture) configure(revision ctid.Revision, workspaces ...ctconfig.Workspace) {
	f.limits.ApplyView(&f.held, &ctview.View{Config: ctview.Config{
		Revision: revision, Document: ctconfig.Document{Workspaces: workspaces},
	}})
}

// grant exchanges a report and a reply that sets the cap of "w".
func (f *fixture) grant(granted ctid.Operations, limited bool) []ctview.QuotaDemand {
	var held ctlock.Held
	demands := f.limits.QuotaDemands(&held, f.clock.Now())
	f.limits.RenewCaps(&held, demands, &ctview.QuotaGrant{
		TTL: capTTL, Caps: []ctview.QuotaCap{{Workspace: "w", Cap: granted, Limited: limited}},
	}, f.clock.Now().Add(time.Duration(capTTL)))
	return demands
}

// run admits and starts an operation that does not wait.
func (f *fixture) run(workspace ctid.Workspace) error {
	if err := f.limits.Admit(&f.held, workspace, f.clock.Now()); err != nil {
		return err
	}
	_, err := f.limits.Start(&f.held, workspace)
	return err
}

func (f *fixture) assertKind(t *testing.T, err error, want cterror.Kind) {
	t.Helper()
	assert.Equal(t, cterror.KindOf(err), want, "%v", err)
}

// admitLater begins to admit an operation that waits, and returns where its result arrives.
func (f *fixture) admitLater(t *testing.T, wait time.Duration) <-chan error {
	t.Helper()
	result := make(chan error, 1)
	before := testutil.ToFloat64(f.metrics.QuotaWaiting)
	go func() {
		var held ctlock.Held
		result <- f.limits.Admit(&held, "w", f.clock.Now().Add(wait))
	}()
	for testutil.ToFloat64(f.metrics.QuotaWaiting) == before {
		time.Sleep(time.Millisecond)
	}
	return result
}

func TestAdmit(t *testing.T) {
	t.Run("a workspace without a limit is not limited or reported", func(t *testing.T) {
		f := newFixture("free")
		for range 100 {
			assert.NilError(t, f.run("free"))
		}
		assert.Equal(t, len(f.limits.QuotaDemands(&f.held, f.clock.Now())), 0)
	})
	t.Run("up to the cap, then no more in the window", func(t *testing.T) {
		f := newFixture("w")
		f.grant(2, true)
		assert.NilError(t, f.run("w"))
		assert.NilError(t, f.run("w"))
		f.assertKind(t, f.run("w"), cterror.RateLimited)
	})
	t.Run("without a cap, nothing starts and the deadline is kept", func(t *testing.T) {
		f := newFixture("w")
		f.assertKind(t, f.run("w"), cterror.Exhausted)
	})
	t.Run("after the cap has expired, nothing starts", func(t *testing.T) {
		f := newFixture("w")
		f.grant(2, false)
		f.clock.Advance(time.Duration(capTTL))
		f.assertKind(t, f.run("w"), cterror.Exhausted)
	})
	t.Run("an operation that waited too long for a connection does not start", func(t *testing.T) {
		f := newFixture("w")
		f.grant(2, false)
		assert.NilError(t, f.limits.Admit(&f.held, "w", f.clock.Now()))
		f.clock.Advance(time.Duration(capTTL))
		_, err := f.limits.Start(&f.held, "w")
		f.assertKind(t, err, cterror.Exhausted)
	})
	t.Run("a refund and a cancellation make room", func(t *testing.T) {
		f := newFixture("w")
		f.grant(1, true)
		assert.NilError(t, f.limits.Admit(&f.held, "w", f.clock.Now()))
		f.limits.Cancel(&f.held, "w")
		assert.NilError(t, f.limits.Admit(&f.held, "w", f.clock.Now()))
		startedAt, err := f.limits.Start(&f.held, "w")
		assert.NilError(t, err)
		f.assertKind(t, f.run("w"), cterror.RateLimited)
		f.limits.Refund(&f.held, "w", startedAt)
		assert.NilError(t, f.run("w"))
	})
	t.Run("once a configuration has removed the limit, all start", func(t *testing.T) {
		f := newFixture("w")
		f.configure(2, ctconfig.Workspace{Name: "w"})
		assert.NilError(t, f.run("w"))
	})
}

func TestWaitForCap(t *testing.T) {
	t.Run("an operation starts when a cap arrives", func(t *testing.T) {
		f := newFixture()
		result := f.admitLater(t, time.Hour)
		f.grant(1, false)
		assert.NilError(t, <-result)
	})
	t.Run("it is rejected when the limit turns out to be reached", func(t *testing.T) {
		f := newFixture()
		result := f.admitLater(t, time.Hour)
		f.grant(0, true)
		f.assertKind(t, <-result, cterror.RateLimited)
	})
	t.Run("it ends at its deadline", func(t *testing.T) {
		f := newFixture()
		result := f.admitLater(t, time.Second)
		for ended := false; !ended; {
			f.clock.Advance(50 * time.Millisecond)
			select {
			case err := <-result:
				f.assertKind(t, err, cterror.Exhausted)
				ended = true
			case <-time.After(time.Millisecond):
			}
		}
		assert.Equal(t, testutil.ToFloat64(f.metrics.QuotaWaiting), 0.0)
	})
	t.Run("many that wait ask once, and the report counts them", func(t *testing.T) {
		f := newFixture()
		const operations = 5
		var results []<-chan error
		for range operations {
			results = append(results, f.admitLater(t, time.Hour))
		}
		assert.Equal(t, f.triggered.Load(), int64(1))
		assert.DeepEqual(t, f.grant(operations, false), []ctview.QuotaDemand{{Workspace: "w", Refused: operations}})
		for _, result := range results {
			assert.NilError(t, <-result)
		}
	})
}

func TestReports(t *testing.T) {
	t.Run("a new owner asks for a cap at once", func(t *testing.T) {
		f := newFixture("free", "w")
		assert.Equal(t, f.triggered.Load(), int64(1))
		assert.DeepEqual(t, f.grant(2, false), []ctview.QuotaDemand{{Workspace: "w"}})
		f.configure(1)
		assert.Equal(t, f.triggered.Load(), int64(1))
	})
	t.Run("a cap that the reply leaves out is renewed", func(t *testing.T) {
		f := newFixture("w")
		f.grant(2, false)
		f.clock.Advance(2 * time.Second)
		demands := f.limits.QuotaDemands(&f.held, f.clock.Now())
		f.limits.RenewCaps(&f.held, demands, &ctview.QuotaGrant{TTL: capTTL}, f.clock.Now().Add(time.Duration(capTTL)))
		f.clock.Advance(time.Second)
		assert.NilError(t, f.run("w"))
	})
	t.Run("a workspace that is not owned is listed while it is in use", func(t *testing.T) {
		f := newFixture()
		f.assertKind(t, f.run("w"), cterror.Exhausted)
		assert.Equal(t, len(f.grant(2, false)), 1)
		f.clock.Advance(time.Minute)
		assert.Equal(t, len(f.limits.QuotaDemands(&f.held, f.clock.Now())), 0)
		f.assertKind(t, f.run("w"), cterror.Exhausted)
	})
}
