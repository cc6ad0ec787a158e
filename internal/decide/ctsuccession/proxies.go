package ctsuccession

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctdrift"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// ProxyTracker is what a leader knows of the proxies, whichever groups they use. The
// machines of all groups share it.
type ProxyTracker struct {
	states map[ctid.Proxy]*proxyState
	// unreportedUntil is the latest time until which a proxy could acknowledge something that
	// nobody can be asked about any more: its run has ended, or it fell silent.
	unreportedUntil time.Time
	// alive is how many reported lately, as of the last tick.
	alive int
}

// proxyState is what is known of a proxy.
type proxyState struct {
	incarnation ctid.Incarnation
	// authorityExpiry is when its authority ends, and heard when it last reported.
	authorityExpiry time.Time
	lastReport      time.Time
}

// NewProxyTracker returns what a leader knows that began at a time: nothing of the runs
// that an earlier leader gave authority to.
func NewProxyTracker(startedAt time.Time) *ProxyTracker {
	return &ProxyTracker{
		states:          make(map[ctid.Proxy]*proxyState),
		unreportedUntil: startedAt.Add(ctdrift.UpperBound(AuthorityTTL)),
	}
}

// ApplyReport takes a proxy's report, and grants the proxy authority until a time.
func (p *ProxyTracker) ApplyReport(now time.Time, report *ctview.Report, authorityExpiry time.Time) {
	proxy, ok := p.states[report.Proxy.Name]
	if !ok {
		proxy = &proxyState{incarnation: report.Proxy.Incarnation}
		p.states[report.Proxy.Name] = proxy
	}
	if report.Proxy.Incarnation != proxy.incarnation {
		// The run before has ended, and nothing came of what it still acknowledged.
		// Its clock may have been set back before it started again, so the order of
		// incarnations tells nothing.
		proxy.incarnation = report.Proxy.Incarnation
		p.extendUnreported(now)
	}
	proxy.lastReport = now
	if authorityExpiry.After(proxy.authorityExpiry) {
		proxy.authorityExpiry = authorityExpiry
	}
	if report.Stopping {
		proxy.authorityExpiry = time.Time{}
		p.extendUnreported(now)
	}
}

// Tick counts the proxies, notes those that fell silent, and forgets those that did long ago.
func (p *ProxyTracker) Tick(now time.Time) {
	p.alive = 0
	for name, proxy := range p.states {
		if now.Sub(proxy.lastReport) <= reportTTL {
			p.alive++
		}
		if now.Before(proxy.authorityExpiry) {
			continue
		}
		p.extendUnreported(proxy.authorityExpiry)
		if now.Sub(proxy.lastReport) > proxyTTL {
			delete(p.states, name)
		}
	}
}

func (p *ProxyTracker) extendUnreported(until time.Time) {
	if until.After(p.unreportedUntil) {
		p.unreportedUntil = until
	}
}

// Count returns how many proxies are known.
func (p *ProxyTracker) Count() int {
	return len(p.states)
}
