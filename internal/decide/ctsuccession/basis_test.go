package ctsuccession_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// candidateBases returns the bases of the candidates that were chosen.
func candidateBases(e *environment) []ctsuccession.CandidateBasis {
	var chosen []ctsuccession.CandidateBasis
	for _, basis := range e.bases {
		if b, ok := basis.(ctsuccession.CandidateBasis); ok {
			chosen = append(chosen, b)
		}
	}
	return chosen
}

// assertCondition asserts that one candidate was chosen, and what its choice rests on.
func assertCondition(t *testing.T, e *environment, want ctsuccession.Condition) ctsuccession.CandidateBasis {
	t.Helper()
	chosen := candidateBases(e)
	assert.Equal(t, len(chosen), 1, "%v", e.decisions)
	assert.Equal(t, chosen[0].Condition, want)
	return chosen[0]
}

func TestBasis(t *testing.T) {
	t.Run("a member that holds the point at which the primary stepped down", func(t *testing.T) {
		e := newEnvironment()
		e.members["a"].state = ctserver.StateLeaving
		e.run(time.Second)
		basis := assertCondition(t, e, ctsuccession.ConditionStepDown)
		assert.Equal(t, basis.StepDown, point(100))
	})
	t.Run("the primary itself, with commits that no replica has", func(t *testing.T) {
		e := newEnvironment()
		e.losePrimary()
		e.lastAcknowledged = point(101)
		e.run(5 * time.Second)
		e.members["a"].down = false
		e.members["a"].status.Received = point(101)
		e.run(5 * time.Second)
		assertCondition(t, e, ctsuccession.ConditionOldPrimary)
	})
	t.Run("all acknowledged commits are known", func(t *testing.T) {
		e := newEnvironment()
		e.losePrimary()
		e.lastAcknowledged = point(99)
		e.run(3 * time.Second)
		basis := assertCondition(t, e, ctsuccession.ConditionAllKnown)
		assert.Equal(t, basis.LastAcknowledged, point(99))
		assert.Assert(t, basis.AllKnown)
	})
	t.Run("none is ahead, with each member that was counted", func(t *testing.T) {
		e := newEnvironment()
		e.members["a"].down = true
		e.reportsStopped, e.fenced = true, false
		e.run(5 * time.Second)
		basis := assertCondition(t, e, ctsuccession.ConditionNoneAhead)
		assert.Assert(t, !basis.AllKnown)
		assert.Equal(t, len(basis.Members), 3)
		for _, m := range basis.Members {
			assert.Equal(t, m.Paused, m.Member != "a", "%+v", m)
			assert.Equal(t, m.Failures > 0, m.Member == "a", "%+v", m)
		}
	})
	t.Run("a primary that control did not choose, when it is fenced and when it is adopted", func(t *testing.T) {
		e := newEnvironment()
		e.members["c"].status.Role, e.members["c"].status.Term = ctserver.RolePrimary, 5
		received := e.members["c"].status.Received
		e.run(3 * time.Second)
		want := ctsuccession.AdoptionBasis{Member: "c", Term: ctposition.Term(5), Received: received}
		assert.DeepEqual(t, e.bases, []ctsuccession.Basis{want, want})
	})
}
