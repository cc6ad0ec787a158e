package ctview

import (
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// LostLogs says what the logs had that members of a group have lost in a term: the members
// started again without them, were deregistered or were replaced at their address. Such a log
// may have been the only one of a replica with an acknowledged commit.
type LostLogs struct {
	Group ctid.Group      `json:"group" cbor:"group"`
	Term  ctposition.Term `json:"term" cbor:"term"`
	// Point is a point of the log of the term's primary. It includes all that the lost logs
	// had, except for those in Uncovered. It is zero before the primary has reported one.
	Point ctposition.Point `json:"point" cbor:"point"`
	// Uncovered lists the logs that were lost since the primary last reported the end of its
	// own, at most MaxUncovered of them.
	Uncovered []LostLog `json:"uncovered,omitempty" cbor:"uncovered,omitempty"`
}

// LostLog is the loss of one member's log.
type LostLog struct {
	Member ctid.Member `json:"member" cbor:"member"`
	// At is when control learned of the loss, on the clock of its leader.
	At time.Time `json:"at" cbor:"at"`
	// Gone reports whether the member was not heard again since.
	Gone bool `json:"gone,omitempty" cbor:"gone,omitempty"`
}

// MaxUncovered is how many lost logs of a group are listed by name.
const MaxUncovered = 32

// Equal reports whether both say the same.
func (l LostLogs) Equal(other LostLogs) bool {
	sameLog := func(a, b LostLog) bool { return a.Member == b.Member && a.Gone == b.Gone && a.At.Equal(b.At) }
	return l.Group == other.Group && l.Term == other.Term && l.Point == other.Point &&
		slices.EqualFunc(l.Uncovered, other.Uncovered, sameLog)
}
