package ctseek

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstDelay is the limit of the delay in the first round of attempts. It doubles with
	// each round up to maxDelay.
	firstDelay = 30 * time.Millisecond
	maxDelay   = 720 * time.Millisecond
	// directEvery is how many attempts there are for each one that goes directly to control
	// once all processes have failed. The others go to relays.
	directEvery = 4
	// openTimeout bounds the opening of a stream. It is short, so that a VM without power
	// does not keep the proxy from trying the other processes.
	openTimeout = 150 * time.Millisecond
	// slowOpenTimeout replaces openTimeout in one of slowOpenEvery attempts, so that
	// control can also be reached over a slow network.
	slowOpenTimeout = 900 * time.Millisecond
	slowOpenEvery   = 5
	// nearLatency is the longest time that opening a stream to a near process takes.
	nearLatency = 5 * time.Millisecond
	// relayDuration is how long a relay is used. The proxy then seeks control directly.
	relayDuration = 6 * time.Second
	// farDuration is how long a process is used, although a nearer one may be reachable.
	// Up to as much again is added at random.
	farDuration = 10 * time.Second
)

// Random generates random numbers.
type Random interface {
	// Int64N returns a number from 0 to n-1.
	Int64N(n int64) int64
}

// Target is what a proxy connects to. Its types are Control and Relay.
type Target interface {
	isTarget()
}

// Control is a process of control.
type Control struct {
	Address netip.AddrPort
}

// Relay is another proxy, which forwards to the process of control that it uses.
type Relay struct {
	Address netip.AddrPort
}

func (Control) isTarget() {}
func (Relay) isTarget()   {}

// Seeker finds a process of control for one proxy. It is not safe for concurrent use.
type Seeker struct {
	// Self is the proxy's own address. It decides the order of processes that are equally
	// near.
	Self   netip.AddrPort
	Random Random

	// attempts counts the failed attempts since the last answer, and deferrals the requests to
	// call again.
	attempts  int
	deferrals int
	// last is the process of control that was selected last, and lastFailed reports
	// whether it failed.
	last       netip.AddrPort
	lastFailed bool
	// leader is the process that another one named as the leader; invalid if there is
	// none or if it has been selected.
	leader netip.AddrPort
	// relayIndex is the index of the next relay, modulo their number.
	relayIndex int
	// latencies holds the shortest time that opening a stream to a process took.
	latencies map[netip.AddrPort]time.Duration
}

// Prefer makes the next attempt go to a process.
func (s *Seeker) Prefer(control netip.AddrPort) {
	s.leader = control
}

// Next selects the target of the next attempt. The relays are in the order of the proxy's
// preference. There must be at least one process of control.
func (s *Seeker) Next(controls, relays []netip.AddrPort) Target {
	if len(relays) > 0 && s.attempts >= len(controls) && (s.attempts+1)%directEvery != 0 {
		relay := relays[s.relayIndex%len(relays)]
		s.relayIndex++
		return Relay{Address: relay}
	}
	if s.leader.IsValid() {
		s.last, s.leader = s.leader, netip.AddrPort{}
		return Control{Address: s.last}
	}
	ordered := s.order(controls)
	index := slices.Index(ordered, s.last)
	switch {
	case index >= 0 && s.lastFailed:
		index = (index + 1) % len(ordered)
	default:
		index = 0
	}
	s.last = ordered[index]
	return Control{Address: s.last}
}

// order returns the processes by preference.
func (s *Seeker) order(controls []netip.AddrPort) []netip.AddrPort {
	ordered := slices.Clone(controls)
	slices.SortFunc(ordered, func(a, b netip.AddrPort) int {
		return cmp.Or(cmp.Compare(s.distance(a), s.distance(b)), cmp.Compare(s.hash(a), s.hash(b)), a.Compare(b))
	})
	return ordered
}

// distance is how far a process is from the proxy, judged by the time that opening a
// stream took. The order of the values is the order of preference.
type distance uint8

const (
	distanceNear distance = iota
	distanceUnknown
	distanceFar
)

func (s *Seeker) distance(control netip.AddrPort) distance {
	latency, known := s.latencies[control]
	switch {
	case !known:
		return distanceUnknown
	case latency <= nearLatency:
		return distanceNear
	}
	return distanceFar
}

// hash returns a number that depends on the proxy and the process.
func (s *Seeker) hash(control netip.AddrPort) uint64 {
	return xxhash.Sum64(control.AppendTo(s.Self.AppendTo(nil)))
}

// OpenTimeout returns how long the attempt at a target may take to open a stream.
func (s *Seeker) OpenTimeout(target Target) time.Duration {
	if _, direct := target.(Control); direct && (s.attempts+1)%slowOpenEvery == 0 {
		return slowOpenTimeout
	}
	return openTimeout
}

// RecordOpened records how long it took to open a stream to a process of control.
func (s *Seeker) RecordOpened(control netip.AddrPort, took time.Duration) {
	if s.latencies == nil {
		s.latencies = make(map[netip.AddrPort]time.Duration)
	}
	if before, ok := s.latencies[control]; !ok || took < before {
		s.latencies[control] = took
	}
}

// RecordAnswer records that the target answered.
func (s *Seeker) RecordAnswer() {
	s.attempts, s.deferrals, s.lastFailed = 0, 0, false
}

// RecordFailure records that the target could not be reached, did not answer in time, or
// could not serve the proxy.
func (s *Seeker) RecordFailure() {
	s.attempts++
	s.deferrals = 0
	s.lastFailed = true
}

// Restart makes the next attempt begin at the preferred process again.
func (s *Seeker) Restart() {
	s.attempts, s.deferrals, s.lastFailed = 0, 0, false
	s.last = netip.AddrPort{}
}

// Delay returns the time before the next attempt. It is random between nothing and a limit, so
// that proxies which failed together spread over the whole time.
func (s *Seeker) Delay(controlCount int) time.Duration {
	limit := maxDelay
	round := s.attempts / max(controlCount, 1)
	for d, r := firstDelay, 0; d < maxDelay; d, r = 2*d, r+1 {
		if r == round {
			limit = d
			break
		}
	}
	return time.Duration(s.Random.Int64N(int64(limit) + 1))
}

// Retention returns how long a stream to a target is used. The proxy then returns to the
// process that it prefers. It is 0, for no limit, if the target is that process.
func (s *Seeker) Retention(target Target, controls []netip.AddrPort) time.Duration {
	switch t := target.(type) {
	case Relay:
		return relayDuration
	case Control:
		if t.Address != s.order(controls)[0] {
			return farDuration + time.Duration(s.Random.Int64N(int64(farDuration)))
		}
	}
	return 0
}
