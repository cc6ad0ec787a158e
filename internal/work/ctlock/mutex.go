package ctlock

import (
	"fmt"
	"sync"
)

// Held records the locks that one goroutine holds. Its zero value holds none.
// It belongs to one goroutine and is never shared.
type Held struct {
	ranks []Rank
}

func (h *Held) lastRank() Rank {
	if len(h.ranks) == 0 {
		return RankNone
	}
	return h.ranks[len(h.ranks)-1]
}

// Mutex is a mutual exclusion lock with a place in the lock order. Its Rank is
// set before first use.
type Mutex struct {
	Rank  Rank
	mutex sync.Mutex
}

// Lock locks the mutex. It panics where the lock order forbids it.
func (m *Mutex) Lock(h *Held) {
	if m.Rank <= h.lastRank() {
		panic(fmt.Sprintf("ctlock: rank %d is locked while rank %d is held", m.Rank, h.lastRank()))
	}
	m.mutex.Lock()
	h.ranks = append(h.ranks, m.Rank)
}

// Unlock unlocks the mutex, which must be the one that was locked last.
func (m *Mutex) Unlock(h *Held) {
	if h.lastRank() != m.Rank {
		panic(fmt.Sprintf("ctlock: rank %d is unlocked while rank %d is on top", m.Rank, h.lastRank()))
	}
	h.ranks = h.ranks[:len(h.ranks)-1]
	m.mutex.Unlock()
}
