package ctadmission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctadmission"
)

// TestLimit guards against a limit that stops all statements, so that nothing finds out that the
// member accepts some again.
func TestLimit(t *testing.T) {
	t.Run("allows a statement after the pause whatever happened", rapid.MakeCheck(func(t *rapid.T) {
		random := rand.New(rand.NewPCG(seed, seed))
		l := ctadmission.Limit{
			Slots: rapid.IntRange(0, 8).Draw(t, "slots"), Processes: rapid.IntRange(0, 60).Draw(t, "processes"),
		}
		now := epoch
		var sentAt []time.Time
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if l.Allows(now) && rapid.Bool().Draw(t, "send") {
				l.Start()
				sentAt = append(sentAt, now)
			}
			if len(sentAt) == 0 {
				continue
			}
			outcome := rapid.SampledFrom([]ctadmission.Outcome{
				ctadmission.Answered{Latency: now.Sub(sentAt[0])}, ctadmission.Rejected{}, ctadmission.Unmeasured{},
			}).Draw(t, "outcome")
			l.Finish(now, sentAt[0], outcome, random)
			sentAt = sentAt[1:]
		}
		for range sentAt {
			l.Discard()
		}
		if l.PausedUntil().After(now) {
			now = l.PausedUntil()
		}
		if !l.Allows(now) {
			t.Fatalf("nothing is allowed: %+v", l)
		}
	}))
	t.Run("is not set by late responses of a member that rejects nothing", func(t *testing.T) {
		l := ctadmission.Limit{Slots: 4, Processes: 30}
		random := rand.New(rand.NewPCG(seed, seed))
		for i := range 200 {
			now, latency := epoch.Add(time.Duration(i)*time.Second), 10*time.Millisecond
			if i >= 100 {
				latency *= 50
			}
			l.Start()
			l.Finish(now.Add(latency), now, ctadmission.Answered{Latency: latency}, random)
			assert.Equal(t, l.Bound(), 0)
		}
	})
	t.Run("is removed when nothing has been rejected for some time", func(t *testing.T) {
		l := ctadmission.Limit{Slots: 4, Processes: 1}
		l.Start()
		l.Finish(epoch, epoch, ctadmission.Rejected{}, rand.New(rand.NewPCG(seed, seed)))
		assert.Equal(t, l.Bound(), 1)
		l.Allows(epoch.Add(time.Minute))
		assert.Equal(t, l.Bound(), 0)
	})
}

// lostConnectionTTL is how long the member counts old connections.
const lostConnectionTTL = 3 * time.Second

// TestOpening guards against many attempts to open connections while the member rejects them.
func TestOpening(t *testing.T) {
	random := rand.New(rand.NewPCG(seed, seed))
	for open := range 3 {
		var o ctadmission.Opening
		attempts := 0
		for now := epoch; now.Before(epoch.Add(lostConnectionTTL)); now = now.Add(tick) {
			if o.Max(now, 4, 0) > open {
				attempts++
				o.Rejected(now, open, random)
			}
		}
		t.Logf("%d connections open: %d attempts", open, attempts)
		assert.Assert(t, attempts <= 8)
		later := epoch.Add(2 * lostConnectionTTL)
		assert.Assert(t, o.Max(later, 4, 0) > open)
		o.Opened(later, open+1)
		assert.Assert(t, o.Max(later, 4, 0) > open+1, "tries the next one at once")
	}
}
