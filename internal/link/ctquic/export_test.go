package ctquic

import "time"

// CloseUnused closes the connections that are unused at the time now.
func (e *Endpoint) CloseUnused(now time.Time) {
	e.closeUnused(now)
}

// Connections returns how many connections to peers are open.
func (e *Endpoint) Connections() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	count := 0
	for _, p := range e.peers {
		p.mutex.Lock()
		if p.connection != nil {
			count++
		}
		p.mutex.Unlock()
	}
	return count
}
