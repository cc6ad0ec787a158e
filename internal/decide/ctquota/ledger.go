package ctquota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctdrift"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Ledger holds the caps and charges of all workspaces that have a limit. Use NewLedger to
// create one when a process becomes control's leader. It must not be used concurrently.
type Ledger struct {
	bounds Bounds
	// knownAt is when the ledger has all caps and charges that may count.
	knownAt time.Time
	// marks are the durable marks of all workspaces.
	marks map[ctid.Workspace]ctid.Operations
	// legacyAt is when all caps that predecessors granted have expired.
	legacyAt time.Time
	accounts map[ctid.Workspace]*account
	proxies  map[ctid.Proxy]*proxyRecord
}

// proxyRecord is the newest report of a proxy.
type proxyRecord struct {
	incarnation ctid.Incarnation
	number      uint64
	// workspaces are those for which the proxy may have a cap.
	workspaces ctset.Set[ctid.Workspace]
}

// Report is what a report says about a holder's caps.
type Report struct {
	Holder Holder
	// Number counts the holder's reports. Earlier reports that arrive late are ignored.
	Number  uint64
	Demands []ctview.QuotaDemand
	// Renewable reports whether caps may be granted in the reply.
	Renewable bool
}

// NewLedger returns the ledger of a leader that starts now, with the durable marks.
func NewLedger(bounds Bounds, now time.Time, marks map[ctid.Workspace]ctid.Operations) *Ledger {
	return &Ledger{
		bounds: bounds, marks: marks,
		knownAt:  now.Add(bounds.unknownTime()),
		legacyAt: now.Add(ctdrift.UpperBound(LeaseTTL)),
		accounts: make(map[ctid.Workspace]*account),
		proxies:  make(map[ctid.Proxy]*proxyRecord),
	}
}

// SetLimits sets the limits of the workspaces in a configuration. It drops the caps and charges of
// workspaces without a limit.
func (l *Ledger) SetLimits(workspaces []ctconfig.Workspace) {
	var limited ctset.Set[ctid.Workspace]
	for i := range workspaces {
		w := &workspaces[i]
		if w.Limit == nil {
			continue
		}
		limited.Add(w.Name)
		a, ok := l.accounts[w.Name]
		if !ok {
			a = &account{leases: make(map[Holder]*lease), mark: l.marks[w.Name], base: l.marks[w.Name]}
			l.accounts[w.Name] = a
		}
		a.ceiling = l.bounds.Ceiling(*w.Limit)
	}
	for name := range l.accounts {
		if !limited.Has(name) {
			delete(l.accounts, name)
		}
	}
}

// SetMarks puts durable marks into force.
func (l *Ledger) SetMarks(marks map[ctid.Workspace]ctid.Operations) {
	l.marks = marks
	for name, a := range l.accounts {
		if mark := marks[name]; mark > a.mark || mark == a.proposed {
			a.mark = mark
		}
	}
}

// WantedMarks returns the marks that must be made durable. Until a higher one is, the caps and
// charges of its workspace stay below the former one.
func (l *Ledger) WantedMarks(now time.Time) map[ctid.Workspace]ctid.Operations {
	var wanted map[ctid.Workspace]ctid.Operations
	for name, a := range l.accounts {
		a.sweep(now, l.bounds.countedWindow())
		if mark, ok := a.wantedMark(now, !now.Before(l.knownAt)); ok {
			if wanted == nil {
				wanted = make(map[ctid.Workspace]ctid.Operations)
			}
			wanted[name] = mark
		}
	}
	return wanted
}

// Apply records a report and returns the grant for the reply. It is nil if no workspace has
// a limit, if the report is not the holder's newest one, or if it is not renewable.
func (l *Ledger) Apply(now time.Time, report *Report) *ctview.QuotaGrant {
	if len(l.accounts) == 0 && len(report.Demands) == 0 {
		return nil
	}
	record := l.record(now, report)
	if record == nil {
		return nil
	}
	var reported ctset.Set[ctid.Workspace]
	for i := range report.Demands {
		reported.Add(report.Demands[i].Workspace)
		l.confirm(now, report, record, &report.Demands[i])
	}
	for _, name := range record.workspaces.Sorted() {
		if !reported.Has(name) {
			l.release(now, report.Holder, name)
			record.workspaces.Remove(name)
		}
	}
	if !report.Renewable || len(report.Demands) == 0 {
		return nil
	}
	grant := &ctview.QuotaGrant{TTL: ctconfig.Duration(LeaseTTL)}
	for i := range report.Demands {
		if renewed, changed := l.renew(now, report.Holder, &report.Demands[i]); changed {
			grant.Caps = append(grant.Caps, renewed)
		}
	}
	return grant
}

// record returns the record of a report's proxy, or nil if a newer report has arrived.
func (l *Ledger) record(now time.Time, report *Report) *proxyRecord {
	holder := report.Holder
	record, ok := l.proxies[holder.Proxy]
	switch {
	case !ok || holder.Incarnation > record.incarnation:
		if ok {
			// The process that had the former caps has ended.
			former := Holder{Proxy: holder.Proxy, Incarnation: record.incarnation}
			for _, name := range record.workspaces.Sorted() {
				l.release(now, former, name)
			}
		}
		record = &proxyRecord{incarnation: holder.Incarnation}
		l.proxies[holder.Proxy] = record
	case holder.Incarnation < record.incarnation || report.Number <= record.number:
		return nil
	}
	record.number = report.Number
	return record
}

// confirm records the cap that a holder has, and its demand. A cap that the ledger doesn't
// know is one of a predecessor, or has expired.
func (l *Ledger) confirm(now time.Time, report *Report, record *proxyRecord, demand *ctview.QuotaDemand) {
	a, ok := l.accounts[demand.Workspace]
	if !ok {
		return
	}
	window := l.bounds.countedWindow()
	a.sweep(now, window)
	record.workspaces.Add(demand.Workspace)
	a.change(report.Holder, func(entry *lease) {
		entry.expire(now, window)
		if entry.usableUntil.IsZero() && entry.charge == 0 && now.Before(l.legacyAt) {
			entry.legacy = max(demand.Cap, demand.Started)
			entry.level, entry.usableUntil = demand.Cap, l.legacyAt
		}
		entry.confirm(demand.Cap, demand.Started, now.Add(window))
		entry.asked = demand.Started + demand.Refused
	})
}

// release ends a lease that the holder does not have any more.
func (l *Ledger) release(now time.Time, holder Holder, name ctid.Workspace) {
	a, ok := l.accounts[name]
	if !ok || a.leases[holder] == nil {
		return
	}
	window := l.bounds.countedWindow()
	a.change(holder, func(entry *lease) {
		entry.expire(now, window)
		entry.end(now.Add(window))
	})
}

// renew grants a cap, and reports whether the reply must name it. Without a limit, a holder
// that has yet to apply the configuration keeps the cap that it has.
func (l *Ledger) renew(now time.Time, holder Holder, demand *ctview.QuotaDemand) (ctview.QuotaCap, bool) {
	a, ok := l.accounts[demand.Workspace]
	if !ok {
		return ctview.QuotaCap{}, false
	}
	a.change(holder, func(entry *lease) { entry.usableUntil = now.Add(ctdrift.UpperBound(LeaseTTL)) })
	entry := a.leases[holder]
	granted := a.grant(entry, !now.Before(l.knownAt))
	limited := a.full() && granted < entry.demand()
	a.change(holder, func(entry *lease) { entry.level = max(entry.level, granted) })
	return ctview.QuotaCap{Workspace: demand.Workspace, Cap: granted, Limited: limited}, granted != demand.Cap || limited
}

// Expire forgets the proxies that are gone and drops what has expired.
func (l *Ledger) Expire(now time.Time) {
	for _, a := range l.accounts {
		a.sweep(now, l.bounds.countedWindow())
	}
	for proxy, record := range l.proxies {
		holder := Holder{Proxy: proxy, Incarnation: record.incarnation}
		for _, name := range record.workspaces.Sorted() {
			if a, ok := l.accounts[name]; !ok || a.leases[holder] == nil {
				record.workspaces.Remove(name)
			}
		}
		if record.workspaces.Len() == 0 {
			delete(l.proxies, proxy)
		}
	}
}

// State is the state of one workspace in the ledger.
type State struct {
	Workspace ctid.Workspace
	// Ceiling is how many operations may start in any window.
	Ceiling ctid.Operations
	// Caps is the sum of the caps that holders may use now, and Charges what counts in
	// addition for caps that were lowered or have expired.
	Caps    ctid.Operations
	Charges ctid.Operations
	// Asked is how many operations holders have reported as started or refused, and Full
	// whether these are more than the limit allows.
	Asked ctid.Operations
	Full  bool
	// Holders is the number of holders with a lease.
	Holders int
}

// States returns the states of all workspaces with limits, in ascending order.
func (l *Ledger) States() []State {
	states := make([]State, 0, len(l.accounts))
	for name, a := range l.accounts {
		states = append(states, State{
			Workspace: name, Ceiling: a.ceiling, Caps: a.sums.level, Charges: a.sums.committed - a.sums.level,
			Asked: a.sums.asked, Full: a.full(), Holders: int(a.sums.live),
		})
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return states
}
