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
	askTime = time.Second
	// missLimit is how many questions without a good answer take a proxy out.
	missLimit = 2
)

// balancer sends callers to proxies that say that they are ready.
type balancer struct {
	proxies []*host

	mutex  sync.Mutex
	misses map[*host]int
}

// run asks the proxies until ctx ends.
func (b *balancer) run(ctx context.Context) {
	var outside platform.ExternalClient
	for ctx.Err() == nil {
		for _, h := range b.proxies {
			go func() {
				call, cancel := context.WithTimeout(ctx, askTime)
				defer cancel()
				b.note(h, outside.Ready(call, h.settings.HealthAddress))
			}()
		}
		sleep(ctx, askTime)
	}
}

func (b *balancer) note(h *host, ready bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.misses == nil {
		b.misses = make(map[*host]int)
	}
	if ready {
		b.misses[h] = 0
	} else {
		b.misses[h]++
	}
}

// ready returns the proxies that callers are sent to.
func (b *balancer) ready() []*host {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var ready []*host
	for _, h := range b.proxies {
		if misses, asked := b.misses[h]; asked && misses < missLimit {
			ready = append(ready, h)
		}
	}
	return ready
}

// pick draws a proxy: any where none is ready, as the platform's balancer does.
func (b *balancer) pick(random *rand.Rand) *host {
	ready := b.ready()
	if len(ready) == 0 {
		ready = b.proxies
	}
	return ready[random.IntN(len(ready))]
}
