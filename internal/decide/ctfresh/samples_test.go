package ctfresh_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctfresh"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

func at(ms int) time.Time {
	return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond)
}

func point(n int) ctposition.Point {
	return ctposition.Point{Term: 1, Position: ctposition.Position(n)}
}

func assertPointCovering(t *testing.T, s *ctfresh.Samples, before time.Time, want ctposition.Point, known bool) {
	t.Helper()
	got, ok := s.PointCovering(before)
	assert.Equal(t, ok, known)
	assert.Equal(t, got, want)
}

func TestPointCovering(t *testing.T) {
	t.Run("no point without samples", func(t *testing.T) {
		var s ctfresh.Samples
		assertPointCovering(t, &s, at(0), ctposition.Point{}, false)
	})
	t.Run("the earliest sample that covers the time is returned", func(t *testing.T) {
		var s ctfresh.Samples
		for i := range 10 {
			s.Add(at(100*i), point(i))
		}
		assertPointCovering(t, &s, at(250), point(3), true)
		assertPointCovering(t, &s, at(300), point(3), true)
		assertPointCovering(t, &s, at(-50), point(0), true)
	})
	t.Run("a time after the newest sample is not covered", func(t *testing.T) {
		var s ctfresh.Samples
		s.Add(at(100), point(1))
		assertPointCovering(t, &s, at(101), ctposition.Point{}, false)
	})
	t.Run("samples close together are replaced by the latest", func(t *testing.T) {
		var s ctfresh.Samples
		for i := range 5 {
			s.Add(at(i), point(i))
		}
		assertPointCovering(t, &s, at(0), point(0), true)
		assertPointCovering(t, &s, at(1), point(4), true)
	})
	t.Run("a sample requested before the newest one is ignored", func(t *testing.T) {
		var s ctfresh.Samples
		s.Add(at(200), point(5))
		s.Add(at(100), point(4))
		assertPointCovering(t, &s, at(50), point(5), true)
	})
	t.Run("a sample of an earlier point is ignored", func(t *testing.T) {
		var s ctfresh.Samples
		s.Add(at(100), point(5))
		s.Add(at(200), point(4))
		assertPointCovering(t, &s, at(150), ctposition.Point{}, false)
	})
	t.Run("a sample of an earlier term is ignored", func(t *testing.T) {
		var s ctfresh.Samples
		s.Add(at(100), ctposition.Point{Term: 2, Position: 1})
		s.Add(at(200), point(9))
		assertPointCovering(t, &s, at(150), ctposition.Point{}, false)
	})
}
