package ctsuccession

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctdrift"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// ProxyTracker records the reports and the authority of all proxies, whichever groups
// they use. The machines of a leader's groups share one tracker.
type ProxyTracker struct {
	states map[ctid.Proxy]*proxyState
	// unreportedUntil is the latest time at which a proxy may have acknowledged a commit
	// that it can't report any more, because its process ended or its authority expired.
	unreportedUntil time.Time
	// alive is how many proxies had reported within reportTTL at the last tick.
	alive int
}

// proxyState is the state of one proxy.
type proxyState struct {
	incarnation ctid.Incarnation
	// authorityExpiry is when the proxy's authority expires. It is zero while the proxy has
	// none.
	authorityExpiry time.Time
	lastReport      time.Time
}

// NewProxyTracker returns the tracker of a leader that started at startedAt. The leader
// does not know which proxies an earlier leader granted authority to, so it assumes that
// unknown ones may acknowledge commits for one AuthorityTTL.
func NewProxyTracker(startedAt time.Time) *ProxyTracker {
	return &ProxyTracker{
		states:          make(map[ctid.Proxy]*proxyState),
		unreportedUntil: startedAt.Add(ctdrift.UpperBound(AuthorityTTL)),
	}
}

// ApplyReport applies a proxy's report and extends the proxy's authority to authorityExpiry,
// which is zero if none is granted. A report that the proxy is stopping ends its
// authority at once.
func (p *ProxyTracker) ApplyReport(now time.Time, report *ctview.Report, authorityExpiry time.Time) {
	proxy, ok := p.states[report.Proxy.Name]
	if !ok {
		proxy = &proxyState{incarnation: report.Proxy.Incarnation}
		p.states[report.Proxy.Name] = proxy
	}
	if report.Proxy.Incarnation != proxy.incarnation {
		// The proxy restarted, and its earlier run did not report all that it
		// acknowledged. A lower incarnation counts as a restart too, because the clock
		// that incarnations come from may have been set back.
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

// Tick counts the live proxies, records the expiry of authorities, and removes proxies
// that have not reported for proxyTTL.
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

// extendUnreported records that commits acknowledged before a time may be unreported.
func (p *ProxyTracker) extendUnreported(until time.Time) {
	if until.After(p.unreportedUntil) {
		p.unreportedUntil = until
	}
}

// Count returns how many proxies are tracked.
func (p *ProxyTracker) Count() int {
	return len(p.states)
}
