package ctintake

import (
	"net/netip"
	"time"
)

// Recent holds addresses, each for a period after it was added. Period and Limit must be set.
// It is not safe for concurrent use.
type Recent struct {
	Period time.Duration
	// Limit is the highest number of addresses.
	Limit int

	addedAt map[netip.Addr]time.Time
}

// Contains reports whether an address was added within the period.
func (r *Recent) Contains(now time.Time, address netip.Addr) bool {
	at, ok := r.addedAt[address]
	return ok && now.Before(at.Add(r.Period))
}

// Add adds an address, or begins its period anew. It returns false if there are too many others.
func (r *Recent) Add(now time.Time, address netip.Addr) bool {
	if _, ok := r.addedAt[address]; !ok && len(r.addedAt) >= r.Limit {
		r.evict(now)
		if len(r.addedAt) >= r.Limit {
			return false
		}
	}
	if r.addedAt == nil {
		r.addedAt = make(map[netip.Addr]time.Time)
	}
	r.addedAt[address] = now
	return true
}

// evict removes the addresses whose period is over.
func (r *Recent) evict(now time.Time) {
	for address := range r.addedAt {
		if !r.Contains(now, address) {
			delete(r.addedAt, address)
		}
	}
}
