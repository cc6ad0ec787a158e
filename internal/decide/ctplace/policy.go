package ctplace

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// Policy says how members are selected: ByLatency or Balanced.
type Policy interface {
	isPolicy()
}

// ByLatency selects them with Order.
type ByLatency struct{}

// Balanced selects them with Choose.
type Balanced struct{}

// Decide selects the member that is to run a statement as the policy says. The other arguments
// are those of Choose.
func Decide(now time.Time, policy Policy, candidates []Candidate, proxies int, random func() float64) Decision {
	switch policy.(type) {
	case Balanced:
		return Choose(now, candidates, proxies, random)
	default:
		decision := Decision{Why: ReasonLatency}
		for _, c := range Order(now, candidates) {
			decision.Ranked = append(decision.Ranked, Ranked{Candidate: c, Wait: expectedLatency(now, c)})
		}
		return decision
	}
}

func (ByLatency) isPolicy() {}
func (Balanced) isPolicy()  {}

// ParsePolicy returns the policy with a name in the settings, and nil for an empty name. The
// error is of kind cterror.Invalid.
func ParsePolicy(name string) (Policy, error) {
	switch name {
	case "":
		return nil, nil
	case "latency":
		return ByLatency{}, nil
	case "balanced":
		return Balanced{}, nil
	}
	return nil, cterror.Newf(cterror.Invalid, "use latency or balanced", "the placement %q is unknown", name)
}
