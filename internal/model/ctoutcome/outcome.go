package ctoutcome

import "github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"

// Outcome is one of Ran, NotRun and Unknown.
type Outcome interface {
	isOutcome()
}

// Ran means that the request took effect.
type Ran struct {
	// Point covers the request's writes. It is zero if the request can't have
	// written anything.
	Point ctposition.Point
	// Duplicate reports whether the request took effect when the caller sent it
	// before, under the same idempotency key. The answer of that time is not stored.
	Duplicate bool
}

// NotRun means that the request took no effect and never will.
type NotRun struct {
	Reason Reason
}

// Unknown means that the request was sent and that its effect can't be determined
// now.
type Unknown struct {
	Reason Reason
}

func (Ran) isOutcome()     {}
func (NotRun) isOutcome()  {}
func (Unknown) isOutcome() {}

// NameOf returns the name of the outcome in snake case, for logs, metrics and error
// details.
func NameOf(outcome Outcome) string {
	switch outcome.(type) {
	case Ran:
		return "ran"
	case NotRun:
		return "not_run"
	}
	return "unknown"
}

// ReasonOf returns the reason of an outcome. It is ReasonNone for a Ran that is no
// duplicate.
func ReasonOf(outcome Outcome) Reason {
	switch o := outcome.(type) {
	case Ran:
		if o.Duplicate {
			return ReasonDuplicate
		}
	case NotRun:
		return o.Reason
	case Unknown:
		return o.Reason
	}
	return ReasonNone
}
