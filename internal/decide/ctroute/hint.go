package ctroute

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// Hint is what a proxy last heard of a member, from the end of an answer or
// from a refusal.
type Hint struct {
	// Applied is the point that the member's reads showed.
	Applied ctposition.Point `json:"applied" cbor:"applied"`
	// ExpectedWait is how long a request was expected to wait for a slot.
	ExpectedWait time.Duration `json:"wait" cbor:"wait"`
	// ReceivedAt is when the hint was heard, on this proxy's clock.
	ReceivedAt time.Time `json:"-" cbor:"-"`
}

// remainingWait returns how long a request that is sent now is expected to wait: what
// waited when the hint was given has moved up since.
func (h Hint) remainingWait(now time.Time) time.Duration {
	return max(0, h.ExpectedWait-max(0, now.Sub(h.ReceivedAt)))
}

// Hints gives what was last heard of members.
type Hints interface {
	// Hint returns the hint of a member, and whether there is one.
	Hint(member ctid.Member) (Hint, bool)
}

// HintMap is a Hints made of a map.
type HintMap map[ctid.Member]Hint

// Hint returns the hint of a member.
func (h HintMap) Hint(member ctid.Member) (Hint, bool) {
	hint, ok := h[member]
	return hint, ok
}
