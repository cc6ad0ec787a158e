package ctsoak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/platform"
)

// The balancer's question.
const (
	probeInterval = time.Second
	// maxFailedProbes is how many questions without a good answer take a proxy out.
	maxFailedProbes = 2
)

// balancer sends callers to proxies that say that they are ready.
type balancer struct {
	proxies []*host

	mutex        sync.Mutex
	failedProbes map[*host]int
}

// run asks the proxies until ctx ends.
func (b *balancer) run(ctx context.Context) {
	var client platform.ExternalClient
	for ctx.Err() == nil {
		for _, h := range b.proxies {
			go func() {
				probeCtx, cancel := context.WithTimeout(ctx, probeInterval)
				defer cancel()
				b.recordProbe(h, client.Ready(probeCtx, h.settings.HealthAddress))
			}()
		}
		sleep(ctx, probeInterval)
	}
}

func (b *balancer) recordProbe(h *host, ready bool) {
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
}

// readyProxies returns the proxies that callers are sent to.
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

// pick draws a proxy: any where none is ready, as the platform's balancer does.
func (b *balancer) pick(random *rand.Rand) *host {
	ready := b.readyProxies()
	if len(ready) == 0 {
		ready = b.proxies
	}
	return ready[random.IntN(len(ready))]
}
