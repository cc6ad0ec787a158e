package cterror

// Kind tells how an error is to be handled.
type Kind uint8

// The kinds of error. The zero value is Internal, so that an error without a
// kind is never taken for a harmless one.
const (
	// Internal marks a fault of the program itself.
	Internal Kind = iota
	// Invalid marks input that can never be accepted as it is.
	Invalid
	// Conflict marks a change that another change has overtaken.
	Conflict
	// Unavailable marks a service that can't be reached now; trying again
	// later may succeed.
	Unavailable
	// Exhausted marks a limit that is reached; trying again later may succeed.
	Exhausted
	// Denied marks a peer that lacks the right to ask.
	Denied
	// Expired marks a deadline that has passed.
	Expired
)

// String names the kind in snake case.
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
	}
	return "unknown"
}
