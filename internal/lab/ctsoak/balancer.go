package ctsoak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/platform"
)

// Readiness probes of the balancer.
const (
	// probeInterval is the pause between two probes of a proxy, and the timeout of each.
	probeInterval = time.Second
	// maxFailedProbes is how many failed probes in a row make the balancer remove a proxy.
	maxFailedProbes = 2
	// unreadyTimeout is how long a proxy that was asked to stop may count as ready.
	unreadyTimeout = 4 * time.Second
)

// balancer assigns callers to proxies that report themselves ready. It stands in for
// the platform's load balancer.
type balancer struct {
	proxies []*host
	checker *Checker

	mutex sync.Mutex
	// failedProbes counts the failed probes in a row. Proxies that were never probed
	// have no entry.
	failedProbes map[*host]int
}

// run probes all proxies once each probeInterval until ctx ends.
func (b *balancer) run(ctx context.Context) {
	var client platform.ExternalClient
	for ctx.Err() == nil {
		for _, h := range b.proxies {
			go func() {
				probeCtx, cancel := context.WithTimeout(ctx, probeInterval)
				defer cancel()
				b.recordProbe(h, client.Ready(probeCtx, h.settings.ReadinessAddress))
			}()
		}
		sleep(ctx, probeInterval)
	}
}

func (b *balancer) recordProbe(h *host, ready bool) {
	now := time.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.failedProbes == nil {
		b.failedProbes = make(map[*host]int)
	}
	if ready {
		b.failedProbes[h] = 0
	} else {
		b.failedProbes[h]++
	}
	stopping := h.isStopping(now.Add(-stopTimeout)) && h.stoppedAt().Before(now.Add(-unreadyTimeout))
	if stopping && b.failedProbes[h] < maxFailedProbes {
		b.checker.recordViolation(InvariantDrain, "%s counts as ready %s after it was asked to stop", h.Host, unreadyTimeout)
	}
}

// readyProxies returns the proxies that were probed and failed fewer than maxFailedProbes
// probes in a row.
func (b *balancer) readyProxies() []*host {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var ready []*host
	for _, h := range b.proxies {
		if failed, probed := b.failedProbes[h]; probed && failed < maxFailedProbes {
			ready = append(ready, h)
		}
	}
	return ready
}

// pick returns a random ready proxy. If none is ready, it picks among all proxies, as
// the platform's balancer does.
func (b *balancer) pick(random *rand.Rand) *host {
	ready := b.readyProxies()
	if len(ready) == 0 {
		ready = b.proxies
	}
	return ready[random.IntN(len(ready))]
}
