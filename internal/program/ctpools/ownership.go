package ctpools

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctowner"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

const (
	// ownedDivisor is the part of a member's connections that the owners of workspaces use. The
	// rest stays free for processes that have lost power and come back: the member counts their
	// former connections for some seconds.
	ownedDivisor = 2
	// minOwnerConnections is the least number of connections of an owner to a member. With
	// fewer, an owner would often have to close that of another workspace.
	minOwnerConnections = 4
	// lostConnectionTTL is how long a member counts the connections of a process that lost power.
	lostConnectionTTL = 3 * time.Second
	// partialViewPeriod is how long after the first view a failure domain without proxies is taken
	// for one whose proxies have not reported yet. A new leader of control sends its first views
	// before all proxies have reported to it.
	partialViewPeriod = 3 * time.Second
)

// ownership says which proxies open the connections of each workspace to the members of each
// failure domain. It does not change once it is built.
type ownership struct {
	domains   map[ctid.FailureDomain]domainOwners
	addresses map[ctid.Proxy]netip.AddrPort
	// domainSizes is the number of proxies in each failure domain.
	domainSizes map[ctid.FailureDomain]int
	// revision and sources identify what the ownership was built from.
	revision ctid.Revision
	sources  []ownershipSource
}

// domainOwners are the owners for the members of one failure domain.
type domainOwners struct {
	assignment ctowner.Assignment
	proxies    []ctid.Proxy
}

// ownershipSource is a failure domain with members, and the proxies that may own their
// connections.
type ownershipSource struct {
	domain  ctid.FailureDomain
	proxies []ctid.Proxy
}

// updateOwnership computes who owns the connections in a view. There are no owners if the
// configuration requires no keys or this proxy has no transport: connections then serve callers of
// any workspace. It does nothing if the proxies and the configuration are those of the ownership
// in force.
func (p *Pools) updateOwnership(view *ctview.View) {
	if !view.Config.Document.RequireKeys || p.Transport == nil {
		p.ownership.Store(nil)
		return
	}
	now := p.Clock.Now()
	p.firstViewAt.CompareAndSwap(nil, &now)
	sources := ownershipSources(view, now.Sub(*p.firstViewAt.Load()) >= partialViewPeriod)
	current := p.ownership.Load()
	if current != nil && current.revision == view.Config.Revision &&
		slices.EqualFunc(current.sources, sources, ownershipSource.equal) {
		return
	}
	p.ownership.Store(newOwnership(view, sources))
}

func (s ownershipSource) equal(other ownershipSource) bool {
	return s.domain == other.domain && slices.Equal(s.proxies, other.proxies)
}

// ownershipSources returns the failure domains of a view's members in ascending order, each
// with the proxies that may own connections: those of the domain that are not about to stop. If
// the domain has none and the view is complete, these are all such proxies.
func ownershipSources(view *ctview.View, complete bool) []ownershipSource {
	fewest := make(map[ctid.FailureDomain]int)
	for _, server := range view.Members {
		if n, ok := fewest[server.FailureDomain]; !ok || server.Connections < n {
			fewest[server.FailureDomain] = server.Connections
		}
	}
	var sources []ownershipSource
	for domain, connections := range fewest {
		proxies := readyProxies(view, view.ProxiesOf(domain))
		if len(proxies) == 0 && complete {
			for other := range view.Proxies {
				proxies = append(proxies, other)
			}
			proxies = readyProxies(view, proxies)
			slices.Sort(proxies)
		}
		most := max(1, ownedConnections(connections)/minOwnerConnections)
		sources = append(sources, ownershipSource{domain: domain, proxies: proxies[:min(len(proxies), most)]})
	}
	slices.SortFunc(sources, func(a, b ownershipSource) int { return cmp.Compare(a.domain, b.domain) })
	return sources
}

// readyProxies returns those of the proxies that are not about to stop.
func readyProxies(view *ctview.View, proxies []ctid.Proxy) []ctid.Proxy {
	var ready []ctid.Proxy
	for _, name := range proxies {
		if view.Proxies[name].State == ctserver.StateReady {
			ready = append(ready, name)
		}
	}
	return ready
}

// ownedConnections returns how many of a member's connections the owners may open together.
func ownedConnections(connections int) int {
	return (connections - reservedForControl) / ownedDivisor
}

// newOwnership assigns the workspaces of a view's configuration to the proxies.
func newOwnership(view *ctview.View, sources []ownershipSource) *ownership {
	o := &ownership{
		domains:   make(map[ctid.FailureDomain]domainOwners, len(sources)),
		addresses: make(map[ctid.Proxy]netip.AddrPort, len(view.Proxies)),
		revision:  view.Config.Revision,
		sources:   sources,

		domainSizes: make(map[ctid.FailureDomain]int),
	}
	var shares []ctowner.Share
	for _, w := range view.Config.Document.Workspaces {
		share := ctowner.Share{Workspace: w.Name}
		if w.Limit != nil {
			share.Load = w.Limit.PerSecond
		}
		shares = append(shares, share)
	}
	for _, source := range sources {
		o.domains[source.domain] = domainOwners{
			assignment: ctowner.Assign(source.proxies, shares), proxies: source.proxies,
		}
	}
	for name, proxy := range view.Proxies {
		o.addresses[name] = proxy.Address
		o.domainSizes[proxy.FailureDomain]++
	}
	return o
}

// OwnedWorkspaces returns the workspaces whose connections this proxy opens to members of any
// failure domain, in ascending order.
func (p *Pools) OwnedWorkspaces() []ctid.Workspace {
	o := p.ownership.Load()
	if o == nil {
		return nil
	}
	var owned []ctid.Workspace
	for _, domain := range o.domains {
		owned = append(owned, domain.assignment.Owned(p.Self.Name)...)
	}
	slices.Sort(owned)
	return slices.Compact(owned)
}

// shareOf returns a proxy's share of a member's connections.
//
// Proxies with different views may disagree on who the owners are, as while a fleet starts. So a
// proxy of the member's failure domain that is no owner in its own view serves as a standby.
func (o *ownership) shareOf(self ctview.Proxy, server ctserver.Announcement) connectionShare {
	owners := o.domains[server.FailureDomain].proxies
	if !slices.Contains(owners, self.Name) {
		spare := server.Connections - reservedForControl - ownedConnections(server.Connections)
		standby := self.FailureDomain == server.FailureDomain && o.domainSizes[self.FailureDomain] <= spare
		if !standby {
			return connectionShare{remote: true}
		}
		return connectionShare{limit: 1, standby: true, processes: len(owners)}
	}
	owned := ownedConnections(server.Connections)
	return connectionShare{
		limit: max(1, owned/len(owners)), processes: len(owners),
		reserved: max(1, (server.Connections-reservedForControl-owned)/len(owners)),
	}
}

// largestOwned returns the largest workspace that a proxy owns for the members of a failure
// domain. It is empty if there is none, or if connections serve callers of any workspace.
func (o *ownership) largestOwned(self ctid.Proxy, domain ctid.FailureDomain) ctid.Workspace {
	if o == nil {
		return ""
	}
	workspace, _ := o.domains[domain].assignment.Largest(self)
	return workspace
}
