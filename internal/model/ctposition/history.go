package ctposition

// TermStart records the position at which a term began: what the promoted member
// held when it was promoted.
type TermStart struct {
	Term     Term     `json:"term" cbor:"term"`
	Position Position `json:"position" cbor:"position"`
}

// History lists the starts of a group's terms in ascending order of term.
type History []TermStart

// Covers reports whether a member at the point holder holds all that a caller
// saw at the point seen. A point of an earlier term is covered only if it lies
// no further than the start of the next term that the history records; a point
// of a later term never is.
func (h History) Covers(reached, required Point) bool {
	if required.IsZero() {
		return true
	}
	if reached.Term < required.Term || reached.Position < required.Position {
		return false
	}
	if reached.Term == required.Term {
		return true
	}
	return h.includes(required, reached.Term)
}

// includes reports whether the point seen is part of the history of term.
func (h History) includes(point Point, term Term) bool {
	lastTerm := point.Term
	for _, s := range h {
		if s.Term <= point.Term || s.Term > term {
			continue
		}
		if point.Position > s.Position {
			return false
		}
		lastTerm = s.Term
	}
	return lastTerm == term
}
