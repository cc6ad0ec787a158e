package ctplace

import "time"

const (
	// meanDivisor sets the share of a new observation in the moving mean, which is
	// 1/meanDivisor.
	meanDivisor = 5
	// observationTTL is how long an observation counts. After it, a member that was
	// slow is tried again.
	observationTTL = 3 * time.Second
	// floorWindow is how long the lowest response time counts at least, and half of how long
	// it counts at most. Paths seldom change, and a member with an unknown floor gets a request.
	floorWindow = 2 * time.Minute
)

// Latency is the moving mean of a member's recent response times, and the lowest of them. Its
// zero value has no observations.
type Latency struct {
	mean       time.Duration
	observedAt time.Time
	// lowest is the lowest response time since windowStart, and earlierLowest that of the
	// window before; 0 if there was none.
	lowest        time.Duration
	earlierLowest time.Duration
	windowStart   time.Time
}

// Observe adds the response time of one answer, received at now, to the mean.
func (l *Latency) Observe(now time.Time, latency time.Duration) {
	if l.observedAt.IsZero() || now.Sub(l.observedAt) > observationTTL {
		l.mean = latency
	} else {
		l.mean += (latency - l.mean) / meanDivisor
	}
	l.observedAt = now
	if age := now.Sub(l.windowStart); age > floorWindow {
		l.earlierLowest = l.lowest
		if age > 2*floorWindow {
			l.earlierLowest = 0
		}
		l.lowest, l.windowStart = 0, now
	}
	if l.lowest == 0 || latency < l.lowest {
		l.lowest = latency
	}
}

// Expected returns the expected response time. It moves linearly from the mean back
// to base over observationTTL, and is base without observations.
func (l *Latency) Expected(now time.Time, base time.Duration) time.Duration {
	age := now.Sub(l.observedAt)
	if l.observedAt.IsZero() || age >= observationTTL {
		return base
	}
	return l.mean + time.Duration(float64(base-l.mean)*float64(age)/float64(observationTTL))
}

// Floor returns the lowest response time of the last floorWindow or more, and false if there
// was none. It is close to the time of the path to the member and a short statement.
func (l *Latency) Floor(now time.Time) (time.Duration, bool) {
	age := now.Sub(l.windowStart)
	switch {
	case l.lowest == 0 || age > 2*floorWindow:
		return 0, false
	case l.earlierLowest != 0 && age <= floorWindow:
		return min(l.lowest, l.earlierLowest), true
	}
	return l.lowest, true
}

// ObservedAt returns when the last observation was made; zero if there was none.
func (l *Latency) ObservedAt() time.Time {
	return l.observedAt
}

// Excess returns by how much the expected response time is above the floor: the expected wait
// at the member and the time of a statement that is not among the shortest.
func (l *Latency) Excess(now time.Time) time.Duration {
	floor, _ := l.Floor(now)
	return max(0, l.Expected(now, floor)-floor)
}
