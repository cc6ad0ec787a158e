package ctposition

import "fmt"

// Term identifies the period in which one member is the primary of its group.
// Each promotion starts a higher term. Zero stands for no term.
type Term uint64

// Position is an offset in a group's log, in bytes.
type Position uint64

// String formats the position as PostgreSQL formats a log sequence number.
func (p Position) String() string {
	return fmt.Sprintf("%X/%X", uint32(p>>32), uint32(p))
}

// Point is a position in the log of a term. The zero value stands for no point.
type Point struct {
	Term     Term     `json:"term" cbor:"term"`
	Position Position `json:"position" cbor:"position"`
}

// String formats the point as term:position.
func (p Point) String() string {
	return fmt.Sprintf("%d:%s", p.Term, p.Position)
}

// IsZero reports whether the point is the zero value.
func (p Point) IsZero() bool {
	return p == Point{}
}

// Later returns the later of two points: the one with the higher term or, within
// a term, with the higher position. The result is meaningful only if no promotion
// has discarded either of them.
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
