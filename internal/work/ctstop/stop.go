package ctstop

import (
	"sync"
	"sync/atomic"
)

// Stop is how far a planned stop has come. The zero value is that of a process that goes
// on. Its methods may be called concurrently.
type Stop struct {
	transactionsEnding atomic.Bool

	create    sync.Once
	abandon   sync.Once
	abandoned chan struct{}
}

// EndTransactions ends the time that open transactions have. It may be called again.
func (s *Stop) EndTransactions() {
	s.transactionsEnding.Store(true)
}

// TransactionsEnding reports whether EndTransactions or AbandonQueries was called.
func (s *Stop) TransactionsEnding() bool {
	return s.transactionsEnding.Load()
}

// AbandonQueries ends the waits for answers to all queries that run. It may be called
// again.
func (s *Stop) AbandonQueries() {
	s.EndTransactions()
	s.abandon.Do(func() { close(s.channel()) })
}

// Abandoned returns a channel that is closed by AbandonQueries.
func (s *Stop) Abandoned() <-chan struct{} {
	return s.channel()
}

// QueriesAbandoned reports whether AbandonQueries was called.
func (s *Stop) QueriesAbandoned() bool {
	select {
	case <-s.channel():
		return true
	default:
		return false
	}
}

func (s *Stop) channel() chan struct{} {
	s.create.Do(func() { s.abandoned = make(chan struct{}) })
	return s.abandoned
}
