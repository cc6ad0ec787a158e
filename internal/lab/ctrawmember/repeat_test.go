package ctrawmember_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctrawmember"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctcontrol"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

const (
	seeds             = 100
	operationsPerSeed = 40
)

// Guards against a repeated answer that is taken for that of another query: a success, a
// promise, a status or an end of a transaction that is not the query's own.
func TestRepeatedAnswerIsNotTakenForAnother(t *testing.T) {
	t.Run("each by itself", func(t *testing.T) { assertNoneWrong(t, false) })
	t.Run("many in a row", func(t *testing.T) { assertNoneWrong(t, true) })
}

// assertNoneWrong runs operations with members that repeat answers by themselves or in a row.
func assertNoneWrong(t *testing.T, inOrder bool) {
	t.Helper()
	var total ctrawmember.Tally
	dials := 0
	for seed := range uint64(seeds) {
		tally, opened, err := ctrawmember.Play(seed, inOrder, operationsPerSeed)
		assert.NilError(t, err)
		if tally.Wrong() > 0 {
			t.Errorf("seed %d: %+v", seed, tally)
		}
		total.Add(tally)
		dials += opened
	}
	t.Logf("%+v, %d connections", total, dials)
}

const (
	numberedSeeds = 50
	callsPerSeed  = 30
)

// Guards against an older status, or the answer to another command, that control takes for
// the answer to a fence.
func TestStatusOfAnEarlierCommand(t *testing.T) {
	commands := []ctsuccession.Command{
		ctsuccession.Probe{}, ctsuccession.Probe{}, ctsuccession.Probe{},
		ctsuccession.Pause{Fence: 3}, ctsuccession.Resume{}, ctsuccession.StepDown{Fence: 3},
	}
	for seed := range uint64(numberedSeeds) {
		member := ctrawmember.NewNumbered(seed)
		client := &ctcontrol.PersistentClient{
			Opener: ctpools.Opener{Dialer: member, Clock: &ctclock.System{}}, DecodeStatus: ctrawmember.DecodeNumber,
		}
		choices := rand.New(rand.NewPCG(seed, 1))
		for range callsPerSeed {
			command := commands[choices.IntN(len(commands))]
			before := member.Last()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			status, err := client.Call(ctx, ctserver.Announcement{Member: "m1"}, command)
			cancel()
			assert.NilError(t, err)
			if int(status.Received.Position) <= before {
				t.Errorf("seed %d: %T got status %d, sent after %d", seed, command, status.Received.Position, before)
			}
		}
	}
}
