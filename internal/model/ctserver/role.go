package ctserver

import "github.com/cherviltrestle/cherviltrestle/internal/model/cterror"

// Role is the function of a member in its group.
type Role string

// The roles.
const (
	RolePrimary Role = "primary"
	RoleReplica Role = "replica"
)

// UnmarshalText implements encoding.TextUnmarshaler. It rejects unknown roles.
func (r *Role) UnmarshalText(text []byte) error {
	switch role := Role(text); role {
	case RolePrimary, RoleReplica:
		*r = role
		return nil
	}
	return cterror.Newf(cterror.Invalid, "use primary or replica", "role %q is unknown", text)
}

// State says whether a member or a proxy accepts new work.
type State string

// The states.
const (
	StateReady State = "ready"
	// StateLeaving means that the process is about to stop and accepts no new work.
	StateLeaving State = "leaving"
)

// UnmarshalText implements encoding.TextUnmarshaler. It rejects unknown states.
func (s *State) UnmarshalText(text []byte) error {
	switch state := State(text); state {
	case StateReady, StateLeaving:
		*s = state
		return nil
	}
	return cterror.Newf(cterror.Invalid, "use ready or leaving", "state %q is unknown", text)
}
