package ctpromotion_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctpromotion"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

var (
	start = time.Unix(1000, 0)
	key   = ctpromotion.Key{Group: "g", Promotion: ctview.Promotion{Member: "b", Epoch: 4, Number: 1}}
)

// newLedger returns the ledger of a process that leads in epoch 4 and has sent count requests
// for key.
func newLedger(t *testing.T, count int) *ctpromotion.Ledger {
	t.Helper()
	var l ctpromotion.Ledger
	l.Lead(4)
	for range count {
		assert.Assert(t, l.Begin(key))
	}
	return &l
}

// assertEnd asserts what is known a while after start of the requests for key, of which none was
// seen to take effect.
func assertEnd(t *testing.T, l *ctpromotion.Ledger, after time.Duration, want ctpromotion.End) {
	t.Helper()
	assert.Equal(t, l.Close(start.Add(after), key, time.Time{}), want)
}

// TestClose covers acknowledged writes that a late promotion loses, and writes that are refused
// for good: when no request for a promotion can take effect any more.
func TestClose(t *testing.T) {
	var (
		open  = ctpromotion.Open{}
		void  = ctpromotion.Void{}
		ended = ctpromotion.Ended{}
	)
	t.Run("a promotion without a request is void and closed", func(t *testing.T) {
		l := newLedger(t, 0)
		assertEnd(t, l, 0, void)
		assert.Assert(t, !l.Begin(key))
	})
	t.Run("each request needs an answer", func(t *testing.T) {
		l := newLedger(t, 2)
		l.RecordOutcome(start, key, ctsuccession.PromotionRejected)
		assertEnd(t, l, time.Hour, open)
		l.RecordOutcome(start, key, ctsuccession.PromotionDeferred)
		assertEnd(t, l, 0, void)
	})
	t.Run("an accepted request may take effect after its answer", func(t *testing.T) {
		l := newLedger(t, 1)
		l.RecordOutcome(start, key, ctsuccession.PromotionAccepted)
		assertEnd(t, l, time.Second, open)
		assertEnd(t, l, time.Minute, ended)
	})
	t.Run("the only accepted request can't take effect again", func(t *testing.T) {
		l := newLedger(t, 1)
		l.RecordOutcome(start, key, ctsuccession.PromotionAccepted)
		assert.Equal(t, l.Close(start, key, start), ctpromotion.End(open))
		assert.Equal(t, l.Close(start, key, start.Add(time.Second)), ctpromotion.End(ended))
	})
	t.Run("a second accepted request may take effect after the first", func(t *testing.T) {
		l := newLedger(t, 2)
		l.RecordOutcome(start, key, ctsuccession.PromotionAccepted)
		l.RecordOutcome(start, key, ctsuccession.PromotionAccepted)
		assert.Equal(t, l.Close(start, key, start.Add(time.Second)), ctpromotion.End(open))
	})
	t.Run("a request that lost its answer may take effect during its lifetime", func(t *testing.T) {
		l := newLedger(t, 2)
		l.RecordOutcome(start, key, ctsuccession.PromotionUnknown)
		l.RecordOutcome(start, key, ctsuccession.PromotionAccepted)
		assert.Equal(t, l.Close(start, key, start.Add(time.Second)), ctpromotion.End(open))
		assertEnd(t, l, ctsuccession.RequestLifetime-time.Second, open)
		assertEnd(t, l, ctsuccession.RequestLifetime, ended)
	})
	t.Run("the promotions of other processes are not known here", func(t *testing.T) {
		var l ctpromotion.Ledger
		l.Lead(5)
		assertEnd(t, &l, time.Hour, open)
	})
}

func TestHolds(t *testing.T) {
	at := func(term, position int) ctposition.Point {
		return ctposition.Point{Term: ctposition.Term(term), Position: ctposition.Position(position)}
	}
	for name, c := range map[string]struct {
		role     ctserver.Role
		term     ctposition.Term
		received ctposition.Point
		want     bool
	}{
		"a replica with the commit":                     {ctserver.RoleReplica, 2, at(2, 7), true},
		"a replica without the commit":                  {ctserver.RoleReplica, 2, at(2, 6), false},
		"a replica with entries of a later term":        {ctserver.RoleReplica, 3, at(3, 9), false},
		"a replica of a later term without its entries": {ctserver.RoleReplica, 3, at(2, 7), false},
		"a member that was promoted in between":         {ctserver.RolePrimary, 3, at(2, 7), false},
	} {
		t.Run(name, func(t *testing.T) {
			status := ctquery.Status{Role: c.role, Term: c.term, Received: c.received}
			assert.Equal(t, ctpromotion.Holds(status, at(2, 7)), c.want)
		})
	}
}
