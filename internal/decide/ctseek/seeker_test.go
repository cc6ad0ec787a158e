package ctseek_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctseek"
)

func address(domain, number int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.%d.%d.%d:7440", domain, number/250, number%250+1))
}

// sixControls returns the addresses of six processes of control.
func sixControls() []netip.AddrPort {
	var controls []netip.AddrPort
	for i := range 6 {
		controls = append(controls, address(i, 249))
	}
	return controls
}

func newSeeker(number int) *ctseek.Seeker {
	return &ctseek.Seeker{Self: address(number%6, number), Random: rand.New(rand.NewPCG(uint64(number), 0))}
}

// nextControl selects a target and checks that it is a process of control.
func nextControl(t *testing.T, s *ctseek.Seeker, controls, relays []netip.AddrPort) netip.AddrPort {
	t.Helper()
	control, ok := s.Next(controls, relays).(ctseek.Control)
	assert.Assert(t, ok)
	return control.Address
}

// assertTriesAll checks that as many failures in a row as there are processes reach each
// of them once.
func assertTriesAll(t *testing.T, s *ctseek.Seeker, controls []netip.AddrPort) {
	t.Helper()
	tried := make(map[netip.AddrPort]int)
	for range controls {
		tried[nextControl(t, s, controls, nil)]++
		s.RecordFailure()
	}
	assert.Equal(t, len(tried), len(controls), "%v", tried)
}

func TestOrder(t *testing.T) {
	controls := sixControls()
	t.Run("a proxy keeps to its process", func(t *testing.T) {
		s := newSeeker(1)
		first := nextControl(t, s, controls, nil)
		s.RecordAnswer()
		assert.Equal(t, nextControl(t, s, controls, nil), first)
	})
	t.Run("proxies spread over the processes", func(t *testing.T) {
		const proxies, most = 300, 90
		chosen := make(map[netip.AddrPort]int)
		for i := range proxies {
			chosen[nextControl(t, newSeeker(i), controls, nil)]++
		}
		for _, c := range controls {
			assert.Assert(t, chosen[c] > 0 && chosen[c] < most, "%v", chosen)
		}
	})
	t.Run("a process that fails is not tried again before the others", func(t *testing.T) {
		s := newSeeker(2)
		failed := nextControl(t, s, controls, nil)
		s.RecordAnswer()
		s.RecordFailure()
		assert.Assert(t, nextControl(t, s, controls, nil) != failed)
		assertTriesAll(t, newSeeker(3), controls)
	})
	t.Run("a near process comes before others", func(t *testing.T) {
		s := newSeeker(4)
		for i, c := range controls {
			s.RecordOpened(c, time.Duration(20-19*(i/5))*time.Millisecond)
		}
		assert.Equal(t, nextControl(t, s, controls, nil), controls[5])
		assert.Equal(t, s.Retention(ctseek.Control{Address: controls[5]}, controls), time.Duration(0))
		assert.Assert(t, s.Retention(ctseek.Control{Address: controls[0]}, controls) > 0)
	})
	t.Run("the leader that a process names is tried next", func(t *testing.T) {
		s := newSeeker(5)
		nextControl(t, s, controls, nil)
		s.RecordFailure()
		s.Prefer(controls[3])
		assert.Equal(t, nextControl(t, s, controls, nil), controls[3])
	})
}

func TestRelays(t *testing.T) {
	controls, relays := sixControls(), []netip.AddrPort{address(0, 7), address(0, 8)}
	s := newSeeker(1)
	for range controls {
		nextControl(t, s, controls, relays)
		s.RecordFailure()
	}
	t.Run("are used once all processes have failed", func(t *testing.T) {
		relayed := 0
		for range 8 {
			if _, ok := s.Next(controls, relays).(ctseek.Relay); ok {
				relayed++
			}
			s.RecordFailure()
		}
		assert.Equal(t, relayed, 6)
	})
	t.Run("are given up after a while for control itself", func(t *testing.T) {
		assert.Assert(t, s.Retention(ctseek.Relay{Address: relays[0]}, controls) > 0)
		s.Restart()
		nextControl(t, s, controls, relays)
	})
}

// TestStorm covers a fleet of which every proxy has lost control at the same moment, as
// when all processes of control are killed. Each attempt opens a connection. Without
// backoff, several hundred proxies open over a thousand connections a second at each
// process, which leaves it no time to elect a leader.
func TestStorm(t *testing.T) {
	const (
		proxies   = 300
		duration  = 5 * time.Second
		mostAtOne = 250
		openTime  = 2 * time.Millisecond
		fastPhase = time.Second
	)
	controls := sixControls()
	opened := make(map[netip.AddrPort]int)
	fast := 0
	for i := range proxies {
		s := newSeeker(i)
		for at := time.Duration(0); at < duration; at += s.Delay(len(controls)) + openTime {
			target := nextControl(t, s, controls, nil)
			s.RecordFailure()
			if at >= fastPhase {
				opened[target]++
			} else {
				fast++
			}
		}
	}
	t.Run("opens few connections a second at each process", func(t *testing.T) {
		for _, c := range controls {
			perSecond := opened[c] * int(time.Second) / int(duration-fastPhase)
			assert.Assert(t, perSecond < mostAtOne, "%d a second at %s", perSecond, c)
		}
	})
	t.Run("tries each process within a second", func(t *testing.T) {
		assert.Assert(t, fast >= proxies*len(controls), "%d attempts", fast)
	})
}

// TestDeferral guards against proxies that open new streams to processes which only ask them to
// wait, and against one that stays at a process which is cut off from the leader.
func TestDeferral(t *testing.T) {
	const after = 100 * time.Millisecond
	controls := sixControls()
	// stays returns how often a proxy calls a process again that always defers it.
	stays := func(t *testing.T, s *ctseek.Seeker, deferral ctseek.Deferral) int {
		t.Helper()
		for count := 0; ; count++ {
			delay, stay := s.RecordDeferral(deferral)
			assert.Assert(t, delay >= after && delay <= 2*after, "%v", delay)
			if !stay {
				return count
			}
		}
	}
	t.Run("a proxy calls a busy process again for a while, then another one", func(t *testing.T) {
		s := newSeeker(0)
		first := nextControl(t, s, controls, nil)
		assert.Assert(t, stays(t, s, ctseek.Busy{After: after}) > 2)
		assert.Assert(t, nextControl(t, s, controls, nil) != first)
	})
	t.Run("it leaves a process without a leader before its authority expires", func(t *testing.T) {
		const interval, held, lifetime = time.Second, 500 * time.Millisecond, 2500 * time.Millisecond
		s := newSeeker(0)
		nextControl(t, s, controls, nil)
		calls := time.Duration(stays(t, s, ctseek.Leaderless{After: after}) + 1)
		assert.Assert(t, interval+calls*(held+2*after) < lifetime)
	})
	t.Run("an answer ends the count", func(t *testing.T) {
		s := newSeeker(0)
		nextControl(t, s, controls, nil)
		for range 20 {
			_, stay := s.RecordDeferral(ctseek.Leaderless{After: after})
			assert.Assert(t, stay)
			s.RecordAnswer()
		}
	})
}
