package ctserver

import "github.com/cherviltrestle/cherviltrestle/internal/model/cterror"

// Role tells what a member does in its group.
type Role string

// The roles.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// UnmarshalText decodes and checks a role.
func (r *Role) UnmarshalText(text []byte) error {
	switch role := Role(text); role {
	case RolePrimary, RoleReplica:
		*r = role
		return nil
	}
	return cterror.Newf(cterror.Invalid, "use primary or replica", "role %q is unknown", text)
}

// State tells whether a member or a proxy takes new work.
type State string

// The states.
const (
	StateReady   State = "ready"
	StateLeaving State = "leaving"
)

// UnmarshalText decodes and checks a state.
func (s *State) UnmarshalText(text []byte) error {
	switch state := State(text); state {
	case StateReady, StateLeaving:
		*s = state
		return nil
	}
	return cterror.Newf(cterror.Invalid, "use ready or leaving", "state %q is unknown", text)
}
