package ctreply

import (
	"hash/maphash"
	"slices"
)

// fingerprint is the hash of a proof or a fault.
type fingerprint uint64

var fingerprintSeed = maphash.MakeSeed()

func fingerprintOf[T comparable](value T) fingerprint {
	return fingerprint(maphash.Comparable(fingerprintSeed, value))
}

// fingerprints holds the latest fingerprints of a connection. The zero value is empty, and
// its memory grows with its use.
type fingerprints struct {
	values []fingerprint
	// next is the index of the oldest value once the capacity is reached.
	next int
}

func (f *fingerprints) has(value fingerprint) bool {
	return slices.Contains(f.values, value)
}

// add adds a value. If there are capacity values, it replaces the oldest.
func (f *fingerprints) add(value fingerprint, capacity int) {
	if len(f.values) < capacity {
		f.values = append(f.values, value)
		return
	}
	f.values[f.next] = value
	f.next = (f.next + 1) % capacity
}
