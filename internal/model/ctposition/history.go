package ctposition

// TermStart records the position at which a term began: the end of the promoted
// member's log at its promotion.
type TermStart struct {
	Term     Term     `json:"term" cbor:"term"`
	Position Position `json:"position" cbor:"position"`
}

// History lists the starts of a group's terms, in ascending order of term.
type History []TermStart

// Covers reports whether a member that has the log up to the point reached has
// everything up to the point required. A zero required point is always covered.
// Otherwise, reached must not have a lower term or position than required. If its
// term is higher, required must also have survived all promotions in between.
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

// includes reports whether the log of term contains point, which belongs to an
// earlier term. It is false if the history does not record the start of term.
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
