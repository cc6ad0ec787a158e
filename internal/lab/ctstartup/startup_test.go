package ctstartup_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstartup"
)

// narrowLink is 1.4 Mbit/s, the slowest link of a proxy, in bytes a second.
const narrowLink = 1.4e6 / 8

// lasting is how many connections in a second at a control process are too many once the start
// is over.
const lasting = 10

// assertServes checks that all proxies of a plan get their authority and a view within a time,
// and that they don't go on to open connections.
func assertServes(t *testing.T, plan ctstartup.Plan, limit time.Duration) {
	t.Helper()
	for seed := range uint64(4) {
		plan.Seed = seed
		result := ctstartup.Run(plan)
		t.Logf("seed %d: %+v", seed, result)
		assert.Assert(t, result.Serving > 0 && result.Serving < limit)
		assert.Assert(t, result.LateAccepted < lasting)
		assert.Equal(t, result.ServingAtEnd, 1.0)
	}
}

// TestStart guards against a fleet that never gets its authority back after all processes
// have started at once, because the control processes work on reports whose senders have given up.
func TestStart(t *testing.T) {
	for _, proxies := range []int{30, 100, 300, 1000} {
		t.Run(fmt.Sprintf("%d proxies", proxies), func(t *testing.T) {
			assertServes(t, ctstartup.Plan{Proxies: proxies}, 4*time.Second)
		})
	}
	for _, load := range []float64{2, 3, 4} {
		t.Run(fmt.Sprintf("300 proxies, control busy %vfold", load), func(t *testing.T) {
			assertServes(t, ctstartup.Plan{Proxies: 300, Load: load}, 6*time.Second)
		})
	}
	t.Run("300 proxies, control at a narrow link", func(t *testing.T) {
		assertServes(t, ctstartup.Plan{Proxies: 300, LinkRate: narrowLink}, 6*time.Second)
	})
}
