package ctsuccession_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// restartEmpty starts a member again under its id, without its log.
func (e *environment) restartEmpty(name ctid.Member) {
	s := e.members[name]
	s.restarts++
	s.status = ctquery.Status{Role: ctserver.RoleReplica}
}

// TestCandidateWithoutLogLosesCommits covers callers whose acknowledged writes were gone: the
// candidate had started again under its id, without its log, and was requested once more.
func TestCandidateWithoutLogLosesCommits(t *testing.T) {
	e := newEnvironment()
	e.lastAcknowledged = point(100)
	e.losePrimary()
	e.ignores = map[ctid.Member]bool{"b": true}
	for len(e.requests) < 1 {
		e.run(stepInterval)
	}
	e.restartEmpty("b")
	e.ignores = nil
	e.run(10 * time.Second)
	assert.DeepEqual(t, e.requests, []ctid.Member{"b"})
}

// TestAnswerOfEarlierRun covers a log that was taken for complete although it was gone: an answer
// of the member's run before it started again, without its log, arrived after that.
func TestAnswerOfEarlierRun(t *testing.T) {
	e := newEnvironment()
	e.lastAcknowledged = point(100)
	e.losePrimary()
	e.ignores = map[ctid.Member]bool{"b": true}
	for len(e.requests) < 1 {
		e.run(stepInterval)
	}
	sentAt, before := e.now, e.members["b"].status
	e.restartEmpty("b")
	e.members["b"].hung = true
	e.run(stepInterval)
	e.machine.RecordStatus(e.now, sentAt, "b", ctsuccession.Probe{}, before)
	assert.Assert(t, !e.machine.CandidateHoldsLog(e.group))
}
