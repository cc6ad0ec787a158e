package ctoutcome

import "github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"

// Outcome is one of Ran, NotRun and Unknown.
type Outcome interface {
	isOutcome()
}

// Ran states that the request took effect.
type Ran struct {
	// Point covers the request's writes. It is zero where the request can't
	// have written.
	Point ctposition.Point
	// Duplicate reports whether it took effect when it was sent earlier, under the
	// same idempotency key; its answer is not kept.
	Duplicate bool
}

// NotRun states that the request took no effect and never will.
type NotRun struct {
	Reason Reason
}

// Unknown states that the request was sent and that its fate can't be learned
// now.
type Unknown struct {
	Reason Reason
}

func (Ran) isOutcome()     {}
func (NotRun) isOutcome()  {}
func (Unknown) isOutcome() {}

// Name returns the outcome's name in snake case.
func Name(outcome Outcome) string {
	switch outcome.(type) {
	case Ran:
		return "ran"
	case NotRun:
		return "not_run"
	}
	return "unknown"
}

// ReasonOf returns the reason of an outcome, or ReasonNone.
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
