package ctstop_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/work/ctstop"
)

func assertPhase(t *testing.T, s *ctstop.Stop, ending, abandoned bool) {
	t.Helper()
	assert.Equal(t, s.TransactionsEnding(), ending)
	assert.Equal(t, s.QueriesAbandoned(), abandoned)
}

func TestStop(t *testing.T) {
	t.Run("the phases follow one another", func(t *testing.T) {
		var s ctstop.Stop
		assertPhase(t, &s, false, false)
		s.EndTransactions()
		assertPhase(t, &s, true, false)
		s.AbandonQueries()
		assertPhase(t, &s, true, true)
	})
	t.Run("a wait that began before ends", func(t *testing.T) {
		var s ctstop.Stop
		waiting := s.Abandoned()
		s.AbandonQueries()
		s.AbandonQueries()
		<-waiting
		assertPhase(t, &s, true, true)
	})
}
