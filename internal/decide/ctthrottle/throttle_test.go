package ctthrottle_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctthrottle"
)

// seed makes the tests repeat their choices.
const seed = 7

// load is a member that takes only some of what it is sent.
type load struct {
	throttle ctthrottle.Throttle
	random   *rand.Rand
	now      time.Time
	sent     int
	taken    int
}

func newLoad() *load {
	return &load{random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(0, 0)}
}

// run asks a number of times a second, of which the member takes capacity.
func (l *load) run(seconds, perSecond, capacity int) {
	l.sent, l.taken = 0, 0
	for range seconds {
		left := capacity
		for range perSecond {
			l.now = l.now.Add(time.Second / time.Duration(perSecond))
			if !l.throttle.Allow(l.now, l.random) {
				continue
			}
			l.sent++
			l.throttle.RecordAnswer(l.now, left > 0)
			if left > 0 {
				left--
				l.taken++
			}
		}
	}
}

// assertBetween checks that a count lies between two others.
func assertBetween(t *testing.T, count, low, high int) {
	t.Helper()
	assert.Assert(t, low <= count && count <= high, "%d is not between %d and %d", count, low, high)
}

func TestThrottle(t *testing.T) {
	t.Run("sends all that is taken", func(t *testing.T) {
		l := newLoad()
		l.run(10, 100, 100)
		assert.Equal(t, l.taken, 1000)
	})
	t.Run("sends not much more than is taken", func(t *testing.T) {
		l := newLoad()
		l.run(20, 400, 100)
		l.run(10, 400, 100)
		assert.Equal(t, l.taken, 1000)
		assertBetween(t, l.sent, 1000, 2000)
	})
	t.Run("sends all again once all is taken again", func(t *testing.T) {
		l := newLoad()
		l.run(20, 400, 0)
		l.run(20, 400, 400)
		l.run(5, 400, 400)
		assert.Equal(t, l.taken, 2000)
	})
}
