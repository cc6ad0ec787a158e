package ctmembers_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstutter"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

// stutterShare is how many answers of members there are for each one that is sent twice.
const stutterShare = 12

// workWithStutter reads, writes and runs transactions, and counts the successes.
func workWithStutter(t *testing.T, c *caller, outcomes *writeOutcomes, served *atomic.Int64) {
	count := func(answer ctquery.Answer) {
		if answer.OK() {
			served.Add(1)
		}
	}
	for range 25 {
		answer, id := c.call(t, ctquery.Write{Arguments: "i d"})
		outcomes.record(id, answer.Fault)
		count(answer)
		answer, _ = c.call(t, ctquery.Read{Item: "i"})
		count(answer)
		c.call(t, ctquery.Begin{})
		answer, id = c.call(t, ctquery.Write{Arguments: "i e"})
		if !answer.OK() {
			outcomes.record(id, answer.Fault)
			c.call(t, ctquery.Rollback{})
			continue
		}
		answer, _ = c.call(t, ctquery.Commit{})
		outcomes.record(id, answer.Fault)
		count(answer)
	}
}

// assertStutter checks that callers of members that stutter get no answer but their own.
func assertStutter(t *testing.T, w way, plan *ctstutter.Plan) {
	t.Helper()
	t.Parallel()
	options := smallGroup
	options.Stutter = plan
	f := newFixtureWith(t, w, options, ctconfig.FreshnessSession)
	var outcomes writeOutcomes
	var served atomic.Int64
	f.runConcurrently(t, 6, func(c *caller) { workWithStutter(t, c, &outcomes, &served) })
	assertNoViolations(t, f)
	assertOutcomes(t, f, &outcomes)
	assert.Assert(t, served.Load() > 0)
	t.Logf("%d served", served.Load())
}

// TestStutteringMembers guards against an answer that a member sends twice and that is taken for
// the answer to another query.
func TestStutteringMembers(t *testing.T) {
	for _, w := range []way{direct, forwarded} {
		for _, moment := range []ctstutter.Moment{
			ctstutter.Behind{}, ctstutter.Before{}, ctstutter.After{}, ctstutter.Later{Delay: 3 * time.Millisecond},
		} {
			t.Run(fmt.Sprintf("%T %s", moment, w), func(t *testing.T) {
				assertStutter(t, w, ctstutter.Always(1, stutterShare, moment))
			})
		}
	}
	for seed := range uint64(3) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			assertStutter(t, direct, ctstutter.NewPlan(seed, stutterShare))
		})
	}
}
