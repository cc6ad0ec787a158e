package ctposition

import "fmt"

// Term numbers the reigns of a group's primaries. A promotion takes a higher
// term. Zero stands for no term.
type Term uint64

// Position is a place in a group's log, in bytes.
type Position uint64

// String renders the position as PostgreSQL renders a log sequence number.
func (p Position) String() string {
	return fmt.Sprintf("%X/%X", uint32(p>>32), uint32(p))
}

// Point is a position in the history of a term.
type Point struct {
	Term     Term     `json:"term" cbor:"term"`
	Position Position `json:"position" cbor:"position"`
}

// String renders the point as term:position.
func (p Point) String() string {
	return fmt.Sprintf("%d:%s", p.Term, p.Position)
}

// IsZero reports whether the point stands for nothing.
func (p Point) IsZero() bool {
	return p == Point{}
}

// Later returns the later of two points of the same line of terms. A higher
// term is later; within a term the higher position is.
func Later(a, b Point) Point {
	if a.Term != b.Term {
		if a.Term > b.Term {
			return a
		}
		return b
	}
	if a.Position >= b.Position {
		return a
	}
	return b
}
