package ctholder

import (
	"cmp"
	"slices"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Rank returns the ready proxies of the member's failure domain: the holder first, and
// then those that would succeed it. It returns nil for an unknown member. Leaving
// proxies are returned only if no proxy is ready. They hand over their members, and a
// request that reaches one as it stops has an unknown outcome.
func Rank(view *ctview.View, member ctid.Member) []ctview.Proxy {
	announced, ok := view.Members[member]
	if !ok {
		return nil
	}
	names := view.ProxiesOf(announced.FailureDomain)
	candidates := make([]candidate, 0, len(names))
	for _, n := range names {
		candidates = append(candidates, candidate{proxy: view.Proxies[n], weight: rendezvousWeight(n, member)})
	}
	slices.SortFunc(candidates, compareCandidates)
	var proxies []ctview.Proxy
	for _, c := range candidates {
		if c.ready() || !candidates[0].ready() {
			proxies = append(proxies, c.proxy)
		}
	}
	return proxies
}

// Of returns the holder of a member, which is the first proxy of Rank, and whether
// there is one.
func Of(view *ctview.View, member ctid.Member) (ctview.Proxy, bool) {
	announced, ok := view.Members[member]
	if !ok {
		return ctview.Proxy{}, false
	}
	var best candidate
	found := false
	for _, n := range view.ProxiesOf(announced.FailureDomain) {
		c := candidate{proxy: view.Proxies[n], weight: rendezvousWeight(n, member)}
		if !found || compareCandidates(c, best) < 0 {
			best, found = c, true
		}
	}
	return best.proxy, found
}

// candidate is a proxy with its weight for one member.
type candidate struct {
	proxy  ctview.Proxy
	weight uint64
}

// compareCandidates orders ready proxies before leaving ones, and then by descending
// weight.
func compareCandidates(a, b candidate) int {
	if a.ready() != b.ready() {
		if a.ready() {
			return -1
		}
		return 1
	}
	if a.weight != b.weight {
		return cmp.Compare(b.weight, a.weight)
	}
	return cmp.Compare(a.proxy.Name, b.proxy.Name)
}

func (c candidate) ready() bool {
	return c.proxy.State != ctserver.StateLeaving
}

// rendezvousWeight hashes a proxy's and a member's names with 64-bit FNV-1a and then the
// mixing step of SplitMix64, because FNV alone distributes similar names unevenly.
// The byte 0xff, which no name contains, separates the two names.
func rendezvousWeight(proxy ctid.Proxy, member ctid.Member) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	for i := range len(proxy) {
		hash = (hash ^ uint64(proxy[i])) * prime
	}
	hash = (hash ^ 0xff) * prime
	for i := range len(member) {
		hash = (hash ^ uint64(member[i])) * prime
	}
	return mix(hash)
}

// mix is the mixing step of SplitMix64.
func mix(hash uint64) uint64 {
	hash ^= hash >> 30
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 27
	hash *= 0x94d049bb133111eb
	return hash ^ hash>>31
}
