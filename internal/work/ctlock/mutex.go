package ctlock

import (
	"fmt"
	"sync"
)

// Held records the locks that one goroutine holds. Its zero value has no locks. It
// must not be shared between goroutines.
type Held struct {
	// ranks are in the order of locking, which is ascending.
	ranks []Rank
}

// lastRank returns the rank that was locked last, which is the highest one held. It
// returns RankNone if no lock is held.
func (h *Held) lastRank() Rank {
	if len(h.ranks) == 0 {
		return RankNone
	}
	return h.ranks[len(h.ranks)-1]
}

// Mutex is a mutual exclusion lock with a rank in the lock order. Set Rank before
// first use.
type Mutex struct {
	Rank  Rank
	mutex sync.Mutex
}

// Lock locks the mutex and records it in h. It panics if h holds a lock of the same
// or a higher rank, or if the mutex has no rank.
func (m *Mutex) Lock(h *Held) {
	if m.Rank <= h.lastRank() {
		panic(fmt.Sprintf("ctlock: can't lock rank %d after %d: set Rank, lock in ascending order", m.Rank, h.lastRank()))
	}
	m.mutex.Lock()
	h.ranks = append(h.ranks, m.Rank)
}

// Unlock unlocks the mutex and removes it from h. It panics if another rank was
// locked last.
func (m *Mutex) Unlock(h *Held) {
	if h.lastRank() != m.Rank {
		panic(fmt.Sprintf("ctlock: can't unlock rank %d: rank %d was locked last", m.Rank, h.lastRank()))
	}
	h.ranks = h.ranks[:len(h.ranks)-1]
	m.mutex.Unlock()
}
