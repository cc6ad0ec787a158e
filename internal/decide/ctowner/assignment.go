package ctowner

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// loadFactor is how many times the mean load a proxy may be assigned.
const loadFactor = 1.25

// Share is a workspace with its part of the load, in any unit.
type Share struct {
	Workspace ctid.Workspace
	Load      float64
}

// Assignment says which proxies own the connections of each workspace. The zero value has
// no proxies.
type Assignment struct {
	proxies []ctid.Proxy
	owners  map[ctid.Workspace][]ctid.Proxy
	// largest is the workspace with the highest load that each proxy owns.
	largest map[ctid.Proxy]ctid.Workspace
}

// Assign assigns workspaces to proxies. The result keeps the slice proxies, which must not be
// changed any more. Loads that are not positive count as the mean of the others.
func Assign(proxies []ctid.Proxy, shares []Share) Assignment {
	a := Assignment{
		proxies: proxies,
		owners:  make(map[ctid.Workspace][]ctid.Proxy, len(shares)),
		largest: make(map[ctid.Proxy]ctid.Workspace, len(proxies)),
	}
	if len(proxies) == 0 {
		return a
	}
	ordered, total := normalized(shares)
	meanLoad := total / float64(len(proxies))
	loads := make(map[ctid.Proxy]float64, len(proxies))
	for _, s := range ordered {
		count := min(max(1, int(math.Ceil(s.Load/meanLoad))), len(proxies))
		part := s.Load / float64(count)
		ranked := rank(proxies, s.Workspace)
		for _, proxy := range choose(ranked, count, func(p ctid.Proxy) bool { return loads[p]+part <= meanLoad*loadFactor }) {
			loads[proxy] += part
			if _, ok := a.largest[proxy]; !ok {
				a.largest[proxy] = s.Workspace
			}
			a.owners[s.Workspace] = append(a.owners[s.Workspace], proxy)
		}
	}
	return a
}

// normalized returns the shares with positive loads, the largest first, and the sum of the loads.
func normalized(shares []Share) ([]Share, float64) {
	ordered := slices.Clone(shares)
	sum, count := 0.0, 0
	for _, s := range ordered {
		if s.Load > 0 {
			sum += s.Load
			count++
		}
	}
	mean := 1.0
	if count > 0 {
		mean = sum / float64(count)
	}
	total := 0.0
	for i := range ordered {
		if !(ordered[i].Load > 0) {
			ordered[i].Load = mean
		}
		total += ordered[i].Load
	}
	slices.SortFunc(ordered, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Workspace, b.Workspace))
	})
	return ordered, total
}

// choose returns the first count proxies that have room, and fills up with others if there are
// too few.
func choose(ranked []ctid.Proxy, count int, hasRoom func(ctid.Proxy) bool) []ctid.Proxy {
	chosen := make([]ctid.Proxy, 0, count)
	for _, proxy := range ranked {
		if len(chosen) < count && hasRoom(proxy) {
			chosen = append(chosen, proxy)
		}
	}
	for _, proxy := range ranked {
		if len(chosen) < count && !slices.Contains(chosen, proxy) {
			chosen = append(chosen, proxy)
		}
	}
	return chosen
}

// rank returns the proxies by descending hash of workspace and proxy.
func rank(proxies []ctid.Proxy, workspace ctid.Workspace) []ctid.Proxy {
	hashes := make(map[ctid.Proxy]uint64, len(proxies))
	for _, proxy := range proxies {
		hashes[proxy] = hash(workspace, proxy)
	}
	ranked := slices.Clone(proxies)
	slices.SortFunc(ranked, func(a, b ctid.Proxy) int {
		return cmp.Or(cmp.Compare(hashes[b], hashes[a]), cmp.Compare(a, b))
	})
	return ranked
}

func hash(workspace ctid.Workspace, proxy ctid.Proxy) uint64 {
	return xxhash.Sum64String(string(workspace) + "\x00" + string(proxy))
}

// Owners returns the owners of a workspace. A workspace that was not assigned belongs to the
// proxy that it ranks first.
func (a Assignment) Owners(workspace ctid.Workspace) []ctid.Proxy {
	if owners, ok := a.owners[workspace]; ok || len(a.proxies) == 0 {
		return owners
	}
	return rank(a.proxies, workspace)[:1]
}

// Owns reports whether a proxy is among the owners of a workspace.
func (a Assignment) Owns(proxy ctid.Proxy, workspace ctid.Workspace) bool {
	return slices.Contains(a.Owners(workspace), proxy)
}

// standbyCount is how many proxies are the fallback when the owners can't be reached.
const standbyCount = 3

// Order returns the proxies to which self sends the queries of a workspace, in the order in
// which it tries them: itself if it is an owner, else the owners from one that a hash of
// its own name selects, and behind them the first other proxies in the workspace's ranking.
func (a Assignment) Order(self ctid.Proxy, workspace ctid.Workspace) []ctid.Proxy {
	owners := a.Owners(workspace)
	if len(owners) == 0 {
		return nil
	}
	start := slices.Index(owners, self)
	if start < 0 {
		start = int(xxhash.Sum64String(string(self)) % uint64(len(owners)))
	}
	order := append(slices.Clone(owners[start:]), owners[:start]...)
	for _, proxy := range rank(a.proxies, workspace) {
		if len(order) < len(owners)+standbyCount && !slices.Contains(owners, proxy) {
			order = append(order, proxy)
		}
	}
	return order
}

// Largest returns the workspace with the highest load that a proxy owns, and whether it owns any.
func (a Assignment) Largest(proxy ctid.Proxy) (ctid.Workspace, bool) {
	workspace, ok := a.largest[proxy]
	return workspace, ok
}

// Owned returns the workspaces that a proxy owns, in ascending order.
func (a Assignment) Owned(proxy ctid.Proxy) []ctid.Workspace {
	var owned []ctid.Workspace
	for workspace, owners := range a.owners {
		if slices.Contains(owners, proxy) {
			owned = append(owned, workspace)
		}
	}
	slices.Sort(owned)
	return owned
}
