package ctsuccession_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// assertSettles asserts that the next decision settles the only promotion, for a reason.
func assertSettles(t *testing.T, e *environment, want ctsuccession.Reason) {
	t.Helper()
	settle := ctsuccession.SettlePromotions{Promotions: e.group.Unsettled, Reason: want}
	assert.DeepEqual(t, e.machine.Decide(e.now, e.group), []ctsuccession.Action{settle})
}

func TestSettlePromotions(t *testing.T) {
	// begin returns an environment whose leader, of epoch 8, knows a promotion of an epoch.
	begin := func(name ctid.Member, epoch ctview.Epoch) *environment {
		e := newEnvironment()
		e.machine.Epoch = 8
		e.group.Unsettled = []ctview.Promotion{{Member: name, Epoch: epoch, Number: 1}}
		return e
	}
	t.Run("of this leader: only its answers settle it", func(t *testing.T) {
		e := begin("b", 8)
		e.run(2 * time.Minute)
		assertUnsettled(t, e, "b")
	})
	t.Run("of this leader, whose requests have ended", func(t *testing.T) {
		e := begin("b", 8)
		e.machine.RecordEnded(e.now, e.group.Unsettled)
		e.members["b"].unresponsive = true
		e.run(time.Minute)
		assertUnsettled(t, e, "b")
		e.members["b"].unresponsive = false
		e.run(3 * time.Second)
		assertUnsettled(t, e)
	})
	t.Run("not one that has taken effect unseen", func(t *testing.T) {
		e := begin("b", 8)
		e.machine.RecordEnded(e.now, e.group.Unsettled)
		e.members["b"].status.Term = 2
		e.run(3 * time.Second)
		assertUnsettled(t, e, "b")
	})
	t.Run("of an earlier leader", func(t *testing.T) {
		e := begin("b", 7)
		e.now = e.now.Add(time.Minute)
		now, status := e.now, e.members["b"].status
		e.machine.RecordStatus(now, now, "b", ctsuccession.Probe{}, status)
		assertSettles(t, e, ctsuccession.ReasonExpired)
	})
	t.Run("of a member that is gone", func(t *testing.T) {
		e := begin("c", 7)
		e.machine.DeregisterMember(e.now, "c")
		e.now = e.now.Add(3 * time.Second)
		assertSettles(t, e, ctsuccession.ReasonMemberGone)
	})
}
