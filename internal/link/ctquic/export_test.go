package ctquic

import "time"

// CloseUnused closes the connections whose timeout has passed at the given time.
func (e *Endpoint) CloseUnused(now time.Time) {
	e.closeUnused(now)
}

// Connections returns the number of connections that the endpoint has opened.
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
