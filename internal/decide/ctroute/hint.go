package ctroute

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// MemberHint is the state of a member that its holder last reported to this proxy, with the
// end of an answer or with a refusal.
type MemberHint struct {
	// Applied is the point up to which the member's reads showed the log.
	Applied ctposition.Point `json:"applied" cbor:"applied"`
	// ExpectedWait is how long a request was expected to wait for a slot then.
	ExpectedWait time.Duration `json:"wait" cbor:"wait"`
	// ReceivedAt is when the hint was received, on this proxy's clock.
	ReceivedAt time.Time `json:"-" cbor:"-"`
}

// remainingWait returns how long a request that is sent now is expected to wait. The
// queue has advanced since the hint was received, so its age is subtracted.
func (h MemberHint) remainingWait(now time.Time) time.Duration {
	return max(0, h.ExpectedWait-max(0, now.Sub(h.ReceivedAt)))
}

// Hints returns the last hints of members.
type Hints interface {
	// Hint returns the hint of a member, and whether there is one.
	Hint(member ctid.Member) (MemberHint, bool)
}

// HintMap implements Hints with a map.
type HintMap map[ctid.Member]MemberHint

// Hint returns the hint of a member, and whether there is one.
func (h HintMap) Hint(member ctid.Member) (MemberHint, bool) {
	hint, ok := h[member]
	return hint, ok
}
