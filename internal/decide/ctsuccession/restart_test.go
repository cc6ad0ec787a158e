package ctsuccession_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
