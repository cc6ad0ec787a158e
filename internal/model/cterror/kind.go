package cterror

// Kind says how code must handle an error.
type Kind uint8

// The kinds of error. The zero value is Internal. An error without a kind therefore
// counts as a serious one.
const (
	// Internal marks a fault in the program itself.
	Internal Kind = iota
	// Invalid marks input that can't be accepted unless it is changed.
	Invalid
	// Conflict marks a change that is based on an outdated state.
	Conflict
	// Unavailable marks a service that can't be reached at present. A later retry may
	// succeed.
	Unavailable
	// Exhausted marks a limit that has been reached. A later retry may succeed.
	Exhausted
	// Denied marks a request that the peer has no permission to make.
	Denied
	// Expired marks a deadline that has passed.
	Expired
	// RateLimited marks a request over its rate limit. A later retry may succeed.
	RateLimited
)

// String returns the name of the kind in snake case, or "unknown" for an unknown
// value.
func (k Kind) String() string {
	switch k {
	case Internal:
		return "internal"
	case Invalid:
		return "invalid"
	case Conflict:
		return "conflict"
	case Unavailable:
		return "unavailable"
	case Exhausted:
		return "exhausted"
	case Denied:
		return "denied"
	case Expired:
		return "expired"
	case RateLimited:
		return "rate_limited"
	}
	return "unknown"
}
