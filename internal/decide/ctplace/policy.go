package ctplace

import "github.com/cherviltrestle/cherviltrestle/internal/model/cterror"

// Policy says how members are selected: ByLatency or Balanced.
type Policy interface {
	isPolicy()
}

// ByLatency selects them with Order.
type ByLatency struct{}

// Balanced selects them with Choose.
type Balanced struct{}

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
