package ctpromotion_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctpromotion"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// TestLostAnswerBlocksWrites covers writes that were refused for good: the connection of a
// promotion request was reset, and the member that it named never came back; an operator has
// deregistered it.
func TestLostAnswerBlocksWrites(t *testing.T) {
	l := newLedger(t, 1)
	l.RecordOutcome(start, key, ctsuccession.PromotionUnknown)
	machine := ctsuccession.Machine{Epoch: key.Promotion.Epoch}
	machine.Begin(start, ctsuccession.NewProxyTracker(start))
	group := ctview.Group{Name: key.Group, Term: 2, Primary: "c", Unsettled: []ctview.Promotion{key.Promotion}}
	now := start.Add(10 * time.Minute)
	assert.Equal(t, l.Close(now, key, time.Time{}), ctpromotion.End(ctpromotion.Ended{}))
	machine.RecordEnded(now, group.Unsettled)
	machine.DeregisterMember(now, "b")
	settled := false
	for _, action := range machine.Decide(now.Add(time.Minute), group) {
		_, settles := action.(ctsuccession.SettlePromotions)
		settled = settled || settles
	}
	assert.Assert(t, settled)
}
