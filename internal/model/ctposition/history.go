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
func (h History) Covers(holder, seen Point) bool {
	if seen.IsZero() {
		return true
	}
	if holder.Term < seen.Term || holder.Position < seen.Position {
		return false
	}
	if holder.Term == seen.Term {
		return true
	}
	return h.survives(seen, holder.Term)
}

// survives reports whether the point seen is part of the history of term.
func (h History) survives(seen Point, term Term) bool {
	reached := seen.Term
	for _, s := range h {
		if s.Term <= seen.Term || s.Term > term {
			continue
		}
		if seen.Position > s.Position {
			return false
		}
		reached = s.Term
	}
	return reached == term
}
