package ctthrottle_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctthrottle"
)

// seed makes the random numbers of the tests repeatable.
const seed = 7

// simulation sends requests through a Throttle to a member of limited capacity.
type simulation struct {
	throttle ctthrottle.Throttle
	random   *rand.Rand
	now      time.Time
	sent     int
	accepted int
}

func newSimulation() *simulation {
	return &simulation{random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(0, 0)}
}

// run makes perSecond requests a second, of which the member accepts at most
// capacity. It restarts the counts of sent and accepted requests.
func (s *simulation) run(seconds, perSecond, capacity int) {
	s.sent, s.accepted = 0, 0
	for range seconds {
		remaining := capacity
		for range perSecond {
			s.now = s.now.Add(time.Second / time.Duration(perSecond))
			if !s.throttle.Allow(s.now, s.random) {
				continue
			}
			s.sent++
			s.throttle.RecordAnswer(s.now, remaining > 0)
			if remaining > 0 {
				remaining--
				s.accepted++
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
	t.Run("sends all requests that the member can accept", func(t *testing.T) {
		s := newSimulation()
		s.run(10, 100, 100)
		assert.Equal(t, s.accepted, 1000)
	})
	t.Run("sends little more than the member accepts", func(t *testing.T) {
		s := newSimulation()
		s.run(20, 400, 100)
		s.run(10, 400, 100)
		assert.Equal(t, s.accepted, 1000)
		assertBetween(t, s.sent, 1000, 2000)
	})
	t.Run("sends all requests again after the member has recovered", func(t *testing.T) {
		s := newSimulation()
		s.run(20, 400, 0)
		s.run(20, 400, 400)
		s.run(5, 400, 400)
		assert.Equal(t, s.accepted, 2000)
	})
}
