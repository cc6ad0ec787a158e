package ctage_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctage"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

func TestMeter(t *testing.T) {
	t.Run("knows no age before the replica reached a sample", func(t *testing.T) {
		var m ctage.Meter
		m.AddSample(time.Unix(0, 0), ctposition.Point{Term: 1, Position: 64})
		m.RecordApplied(ctposition.Point{Term: 1, Position: 32}, nil)
		_, known := m.Age(time.Unix(9, 0))
		assert.Assert(t, !known)
	})
	t.Run("age grows while the replica makes no progress", func(t *testing.T) {
		var m ctage.Meter
		at := ctposition.Point{Term: 1, Position: 64}
		m.AddSample(time.Unix(0, 0), at)
		m.RecordApplied(at, nil)
		m.AddSample(time.Unix(5, 0), ctposition.Point{Term: 1, Position: 128})
		m.RecordApplied(at, nil)
		age, _ := m.Age(time.Unix(9, 0))
		assert.Equal(t, age, 9*time.Second)
	})
}

// TestMeterNeverTooLow checks with random progress of a primary and a replica that
// the known age is never below the true one.
func TestMeterNeverTooLow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m ctage.Meter
		var primary, replica ctposition.Position
		var written []time.Time
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				primary++
				written = append(written, now)
			case 1:
				m.AddSample(now, ctposition.Point{Term: 1, Position: primary})
			case 2:
				replica += ctposition.Position(rapid.Uint64Range(0, uint64(primary-replica)).Draw(t, "applied"))
				m.RecordApplied(ctposition.Point{Term: 1, Position: replica}, nil)
			}
			age, known := m.Age(now)
			if known && replica < primary && age < now.Sub(written[replica]) {
				t.Fatalf("known age is %s, but the oldest missing write is %s old", age, now.Sub(written[replica]))
			}
		}
	})
}
