package ctstutter

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// assertSent checks what two answers become if the first one is sent again at a moment.
func assertSent(t *testing.T, moment Moment, want ...string) {
	t.Helper()
	start := time.Now()
	var mutex sync.Mutex
	var sent []string
	r := Repeater[string]{Plan: Always(1, 1, moment), Send: func(a string) error {
		mutex.Lock()
		defer mutex.Unlock()
		sent = append(sent, a)
		return nil
	}}
	assert.NilError(t, r.Answer("a"))
	time.Sleep(10 * time.Millisecond)
	r.Plan = nil
	assert.NilError(t, r.Answer("b"))
	r.Close()
	assert.Equal(t, r.RepeatedSince(start), len(want) > 2)
	assert.Assert(t, !r.RepeatedSince(time.Now()))
	mutex.Lock()
	defer mutex.Unlock()
	assert.DeepEqual(t, sent, want)
}

func TestRepeater(t *testing.T) {
	t.Run("after a connection that has ended", func(t *testing.T) { assertSent(t, Later{Delay: time.Minute}, "a", "b") })
	t.Run("behind", func(t *testing.T) { assertSent(t, Behind{}, "a", "a", "b") })
	t.Run("before the next", func(t *testing.T) { assertSent(t, Before{}, "a", "a", "b") })
	t.Run("after the next", func(t *testing.T) { assertSent(t, After{}, "a", "b", "a") })
	t.Run("idle", func(t *testing.T) { assertSent(t, Later{Delay: time.Millisecond}, "a", "a", "b") })
}
