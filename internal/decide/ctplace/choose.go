package ctplace

import (
	"cmp"
	"slices"
	"time"
)

// Limits on the choice.
const (
	// nearMargin is by how much the lowest response time of a near member may be above that
	// of the nearest one. Between regions, it is about twice as much.
	nearMargin = 20 * time.Millisecond
	// regionRoundTrip is the least time of an answer from another region.
	regionRoundTrip = 40 * time.Millisecond
	// farMargin is how much longer than a far member's the wait for a near one may be before
	// a part of the statements goes to the far one, as traffic between regions is expensive.
	// The part grows to all while the difference grows by farRange: if all proxies changed
	// at one value, they would overload both members in turn.
	farMargin = 10 * time.Millisecond
	farRange  = 40 * time.Millisecond
	// drawPool is how many of the best members two are drawn from.
	drawPool = 3
	// unseenWait is added to the lowest response time of a member without recent answers.
	// With less, all proxies would return at once to a member that was overloaded.
	unseenWait = 40 * time.Millisecond
	// runningWeight is the part of the expected response time that each statement which this
	// process runs at a member adds in a large fleet. It is the only information that is never
	// stale. With halfWeightProxies proxies it is a half of that: in a small fleet, each proxy
	// has several statements in flight at a member that is not overloaded.
	runningWeight     = 2
	halfWeightProxies = 20
)

// Class is the cost of the path to a member.
type Class uint8

// The classes. Traffic to far members is priced.
const (
	ClassNear Class = iota
	ClassFar
)

// String returns the name of the class in logs.
func (c Class) String() string {
	if c == ClassFar {
		return "far"
	}
	return "near"
}

// Reason is why a member was chosen: a value of the log key "choice".
type Reason string

// The reasons.
const (
	// ReasonLatency: it has the lowest expected latency (ByLatency).
	ReasonLatency Reason = "latency"
	// ReasonOnly: all others, if there are any, are avoided or ejected.
	ReasonOnly Reason = "only"
	// ReasonNear: it is the only near member.
	ReasonNear Reason = "near"
	// ReasonNearOverloaded: it is far, and the wait for the near members is longer.
	ReasonNearOverloaded Reason = "near_overloaded"
	// ReasonDrawn: it has the shorter wait of two random members.
	ReasonDrawn Reason = "shorter_of_two"
	// ReasonReadmission: it was ejected, and gets a single request.
	ReasonReadmission Reason = "readmission"
	// ReasonLastResort: all members are avoided or ejected.
	ReasonLastResort Reason = "last_resort"
)

// Ranked is a candidate with what the choice knows of it.
type Ranked struct {
	Candidate

	Class Class
	// Wait is the expected time until its answer.
	Wait time.Duration
	// Ejected reports whether it comes last because of its outcomes.
	Ejected bool
}

// Decision is the result of a choice.
type Decision struct {
	// Ranked has the chosen member first, and the others in the order of their preference.
	Ranked []Ranked
	Why    Reason
}

// Choose selects the member that is to run a statement. It prefers near members, and among
// several of a class the one of two random ones with the shorter wait. proxies is the number of
// proxies in the fleet, and random returns numbers from 0 up to 1.
func Choose(now time.Time, candidates []Candidate, proxies int, random func() float64) Decision {
	if len(candidates) == 0 {
		return Decision{}
	}
	ranked := rank(now, candidates, proxies)
	slices.SortStableFunc(ranked, func(a, b Ranked) int {
		return cmp.Or(
			cmp.Compare(tier(now, a), tier(now, b)),
			cmp.Compare(a.Class, b.Class),
			cmp.Compare(a.Wait, b.Wait),
			cmp.Compare(a.Member, b.Member),
		)
	})
	chosen, why := choose(now, ranked, random)
	c := ranked[chosen]
	ranked = slices.Insert(slices.Delete(ranked, chosen, chosen+1), 0, c)
	return Decision{Ranked: ranked, Why: why}
}

// choose returns the index of the chosen one of sorted candidates.
func choose(now time.Time, ranked []Ranked, random func() float64) (int, Reason) {
	best := tier(now, ranked[0])
	usable, near := 0, 0
	for _, r := range ranked {
		if tier(now, r) != best {
			break
		}
		usable++
		if r.Class == ClassNear {
			near++
		}
	}
	chosen, why := draw(ranked[:usable], 0, max(near, 1), random), ReasonDrawn
	switch {
	case near == 0:
		chosen = draw(ranked[:usable], 0, usable, random)
	case near < usable:
		far := draw(ranked[:usable], near, usable, random)
		difference := ranked[chosen].Wait - ranked[far].Wait - farMargin
		if difference > 0 && random() < float64(difference)/float64(farRange) {
			chosen, why = far, ReasonNearOverloaded
		}
	}
	if _, readmitting := ranked[chosen].Standing.(Readmitting); readmitting {
		return chosen, ReasonReadmission
	}
	switch {
	case len(ranked) == 1:
		why = ReasonOnly
	case best > 0:
		why = ReasonLastResort
	case usable == 1:
		why = ReasonOnly
	case why == ReasonDrawn && near == 1:
		why = ReasonNear
	}
	return chosen, why
}

// draw returns the index of the one with the shorter wait of two random candidates among the
// best few from index first to before end. They are sorted by their waits.
func draw(ranked []Ranked, first, end int, random func() float64) int {
	n := min(end-first, drawPool)
	if n < 2 {
		return first
	}
	a := int(random() * float64(n))
	b := int(random() * float64(n-1))
	if b >= a {
		b++
	}
	if ranked[first+b].Wait < ranked[first+a].Wait {
		a = b
	}
	return first + a
}

// rank returns the candidates with their classes, waits and ejections.
func rank(now time.Time, candidates []Candidate, proxies int) []Ranked {
	ranked := make([]Ranked, len(candidates))
	paths := pathsTo(now, candidates)
	weight := runningWeight * float64(proxies) / float64(proxies+halfWeightProxies)
	for i, c := range candidates {
		class := paths.classOf(now, c)
		ranked[i] = Ranked{Candidate: c, Class: class, Wait: expectedWait(now, c, class, weight)}
	}
	eject(now, ranked)
	return ranked
}

// paths is what is known of the paths to the candidates.
type paths struct {
	// nearest is the lowest response time that is known of any candidate.
	nearest time.Duration
	// foundNear reports whether one is certainly in this process's region, and unseen whether
	// one has not answered.
	foundNear bool
	unseen    bool
}

// pathsTo returns what is known of the paths to the candidates.
func pathsTo(now time.Time, candidates []Candidate) paths {
	var p paths
	for _, c := range candidates {
		floor, known := c.Latency.Floor(now)
		p.foundNear = p.foundNear || c.Local || (known && floor < regionRoundTrip)
		p.unseen = p.unseen || !known
		if known && (p.nearest == 0 || floor < p.nearest) {
			p.nearest = floor
		}
	}
	return p
}

// classOf returns the class of a candidate. If none is certainly near, those that have not
// answered count as near, as one of them may be, and if all have, the nearest ones do.
func (p *paths) classOf(now time.Time, c Candidate) Class {
	floor, known := c.Latency.Floor(now)
	var near bool
	switch {
	case p.foundNear:
		near = c.Local || (known && floor < regionRoundTrip)
	case p.unseen:
		near = !known
	default:
		near = floor <= p.nearest+nearMargin
	}
	if near {
		return ClassNear
	}
	return ClassFar
}

// eject marks the candidates that their outcomes put last: at most a half, first those that
// were ejected most often and for the longest time. If all have failed, the cause is hardly the
// members, and none is marked.
func eject(now time.Time, ranked []Ranked) {
	var failed []int
	for i, r := range ranked {
		switch standing := r.Standing.(type) {
		case Ejected:
			failed = append(failed, i)
		case Readmitting:
			if standing.Busy {
				failed = append(failed, i)
			}
		}
	}
	if len(failed) == len(ranked) {
		return
	}
	slices.SortStableFunc(failed, func(a, b int) int {
		return ejectionEnd(now, ranked[b]).Compare(ejectionEnd(now, ranked[a]))
	})
	for _, i := range failed[:min(len(failed), len(ranked)/2)] {
		ranked[i].Ejected = true
	}
}

// ejectionEnd returns until when a candidate is ejected, or now if it is being readmitted.
func ejectionEnd(now time.Time, r Ranked) time.Time {
	if standing, ok := r.Standing.(Ejected); ok {
		return standing.Until
	}
	return now
}

// tier returns 0 for a candidate that may be chosen, 1 for one that is avoided, and 2 for
// one that is ejected.
func tier(now time.Time, r Ranked) int {
	if r.Ejected {
		return 2
	}
	return avoidRank(now, r.Candidate)
}

// expectedWait returns the time until a statement's answer that is expected on a candidate. It
// follows the response times seen here, which count less with their age. The hint of a
// forwarding proxy replaces them while it is newer, as after an answer without a response time:
// all proxies see the same hints, and would follow them to one member. Each statement that this
// process runs there adds a part of the time, which is the weight.
func expectedWait(now time.Time, c Candidate, class Class, weight float64) time.Duration {
	floor, known := c.Latency.Floor(now)
	base := floor + unseenWait
	switch {
	case known:
	case c.Local:
		base = localLatency
	case class == ClassNear:
		base = remoteLatency
	default:
		base = remoteLatency + unseenWait
	}
	wait := c.Latency.Expected(now, base)
	if known && c.Hint.ReceivedAt.After(c.Latency.observedAt) {
		wait += time.Duration(float64(floor+c.Hint.Excess-wait) * c.Hint.weight(now))
	}
	wait += time.Duration(float64(wait) * float64(c.Running) * weight)
	if c.Primary {
		wait += primaryPenalty
	}
	if c.FreeConnections == 0 {
		wait *= 2
	}
	return wait
}
