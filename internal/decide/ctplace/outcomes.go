package ctplace

import (
	"math"
	"time"
)

// Limits on the ejection of a member.
const (
	// outcomeDecay is the time after which an outcome counts 1/e.
	outcomeDecay = 10 * time.Second
	// minFailures and minFailureShare are how many of the recent outcomes must be failures
	// before a member is ejected: that many, and that part of all.
	minFailures     = 3
	minFailureShare = 0.25
	// firstEjection is how long a member is ejected first. Each ejection doubles it, up to
	// maxEjection, unless the member served for ejectionMemory in between.
	firstEjection  = time.Second
	maxEjection    = 16 * time.Second
	ejectionMemory = 30 * time.Second
	// readmissionSuccesses is how many single requests must succeed before an ejected member
	// gets others again.
	readmissionSuccesses = 5
	// probeTimeout is how long a single request to a member that is being readmitted keeps
	// others away while its outcome is unknown.
	probeTimeout = 500 * time.Millisecond
)

// Standing says whether a member may get requests: Serving, Ejected or Readmitting.
type Standing interface {
	isStanding()
}

// Serving is the standing of a member without recent signs of a failure.
type Serving struct{}

// Ejected is the standing of a member that fails a part of its requests.
type Ejected struct {
	Until time.Time
	// Ejections is how often it was ejected lately.
	Ejections int
}

// Readmitting is the standing of a member whose ejection has ended. It gets one request at a
// time.
type Readmitting struct {
	// Busy reports whether the outcome of such a request is outstanding.
	Busy bool
}

func (Serving) isStanding()     {}
func (Ejected) isStanding()     {}
func (Readmitting) isStanding() {}

// Outcomes is the record of a member's recent successes and failures. Its zero value is that of
// a member that serves.
type Outcomes struct {
	successes float64
	failures  float64
	countedAt time.Time

	// ejectedUntil is zero unless the member is ejected or being readmitted.
	ejectedUntil time.Time
	ejections    int
	// readmitted counts the requests that succeeded since the ejection ended.
	readmitted int
	// probedAt is when the request was sent whose outcome is awaited; zero if none is.
	probedAt time.Time
	// servingSince is when the member was readmitted last.
	servingSince time.Time
}

// decay reduces the counts by their age.
func (o *Outcomes) decay(now time.Time) {
	if !o.countedAt.IsZero() {
		factor := math.Exp(-float64(max(0, now.Sub(o.countedAt))) / float64(outcomeDecay))
		o.successes *= factor
		o.failures *= factor
	}
	o.countedAt = now
}

// Succeed records that the member ran a request. It reports whether that readmits the member.
func (o *Outcomes) Succeed(now time.Time) (readmitted bool) {
	o.decay(now)
	o.successes++
	if o.ejectedUntil.IsZero() {
		return false
	}
	o.probedAt = time.Time{}
	if now.Before(o.ejectedUntil) {
		return false
	}
	o.readmitted++
	if o.readmitted < readmissionSuccesses {
		return false
	}
	*o = Outcomes{ejections: o.ejections, servingSince: now}
	return true
}

// Fail records that the member failed a request. It reports whether that ejects the member.
func (o *Outcomes) Fail(now time.Time) (ejected bool) {
	o.decay(now)
	o.failures++
	switch {
	case now.Before(o.ejectedUntil):
		return false
	case !o.ejectedUntil.IsZero():
		// A request of its readmission failed.
	case o.failures < minFailures, o.failures < minFailureShare*(o.failures+o.successes):
		return false
	case now.Sub(o.servingSince) > ejectionMemory:
		o.ejections = 0
	}
	o.ejectedUntil = now.Add(min(firstEjection<<min(o.ejections, 8), maxEjection))
	o.ejections++
	o.readmitted = 0
	o.probedAt = time.Time{}
	return true
}

// Probe records that a request is sent to the member. It has an effect only while the member is
// being readmitted.
func (o *Outcomes) Probe(now time.Time) {
	if !o.ejectedUntil.IsZero() && !now.Before(o.ejectedUntil) {
		o.probedAt = now
	}
}

// Standing returns the member's standing.
func (o *Outcomes) Standing(now time.Time) Standing {
	switch {
	case o.ejectedUntil.IsZero():
		return Serving{}
	case now.Before(o.ejectedUntil):
		return Ejected{Until: o.ejectedUntil, Ejections: o.ejections}
	}
	return Readmitting{Busy: !o.probedAt.IsZero() && now.Sub(o.probedAt) < probeTimeout}
}
