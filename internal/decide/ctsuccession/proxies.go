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
	rows map[ctid.Proxy]*presence
	// mute is the latest time until which a proxy could acknowledge something that
	// nobody can be asked about any more: its run has ended, or it fell silent.
	mute time.Time
	// alive is how many reported lately, as of the last tick.
	alive int
}

// presence is what is known of a proxy.
type presence struct {
	incarnation ctid.Incarnation
	// until is when its authority ends, and heard when it last reported.
	until time.Time
	heard time.Time
}

// NewProxyTracker returns what a leader knows that began at a time: nothing of the runs
// that an earlier leader gave authority to.
func NewProxyTracker(began time.Time) *ProxyTracker {
	return &ProxyTracker{rows: make(map[ctid.Proxy]*presence), mute: began.Add(ctdrift.UpperBound(AuthorityTTL))}
}

// ApplyReport takes a proxy's report, and grants the proxy authority until a time.
func (p *ProxyTracker) ApplyReport(now time.Time, report *ctview.Report, until time.Time) {
	row, ok := p.rows[report.Proxy.Name]
	if !ok {
		row = &presence{incarnation: report.Proxy.Incarnation}
		p.rows[report.Proxy.Name] = row
	}
	if report.Proxy.Incarnation != row.incarnation {
		// The run before has ended, and nothing came of what it still acknowledged.
		// Its clock may have been set back before it started again, so the order of
		// incarnations tells nothing.
		row.incarnation = report.Proxy.Incarnation
		p.silenced(now)
	}
	row.heard = now
	if until.After(row.until) {
		row.until = until
	}
	if report.Stopping {
		row.until = time.Time{}
		p.silenced(now)
	}
}

// Tick counts the proxies, notes those that fell silent, and forgets those that did long ago.
func (p *ProxyTracker) Tick(now time.Time) {
	p.alive = 0
	for name, row := range p.rows {
		if now.Sub(row.heard) <= reportTime {
			p.alive++
		}
		if now.Before(row.until) {
			continue
		}
		p.silenced(row.until)
		if now.Sub(row.heard) > forgetProxyTime {
			delete(p.rows, name)
		}
	}
}

func (p *ProxyTracker) silenced(at time.Time) {
	if at.After(p.mute) {
		p.mute = at
	}
}

// Count returns how many proxies are known.
func (p *ProxyTracker) Count() int {
	return len(p.rows)
}
