package ctreconcile

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Action is one of NoAction, Fence, Promote and Follow.
type Action interface {
	isAction()
}

// NoAction means that the holder must do nothing to the member for now.
type NoAction struct{}

// Fence makes the member reject everything from terms before Term.
type Fence struct {
	Term ctposition.Term
}

// Promote makes the member the primary of Term.
type Promote struct {
	Term ctposition.Term
}

// Follow makes the member a replica of Primary in Term. Start is the position where
// Term began. The member discards what its log holds beyond Start.
type Follow struct {
	Term    ctposition.Term
	Start   ctposition.Position
	Primary ctid.Member
}

func (NoAction) isAction() {}
func (Fence) isAction()    {}
func (Promote) isAction()  {}
func (Follow) isAction()   {}

// Next returns the next action on the member. Until a change is complete and a
// primary is known, it only fences. One action may not be enough: the caller calls
// Next again with the member's new status.
func Next(member ctid.Member, status ctserver.Status, group ctview.Group) Action {
	switch {
	case group.Fence > status.Fence:
		return Fence{Term: group.Fence}
	case group.Fence > group.Term, group.Term == 0:
		return NoAction{}
	case group.Primary == member:
		return primaryAction(status, group)
	}
	return replicaAction(status, group)
}

// primaryAction returns the action on the group's decided primary. A member that has
// reached a later term or fence than the group's term is left alone.
func primaryAction(status ctserver.Status, group ctview.Group) Action {
	if status.Role == ctserver.RolePrimary && status.Received.Term == group.Term {
		return NoAction{}
	}
	if status.Received.Term > group.Term || status.Fence > group.Term {
		return NoAction{}
	}
	return Promote{Term: group.Term}
}

// replicaAction returns the action on a member other than the primary. A member that
// has reached a later term than the group's is left alone.
func replicaAction(status ctserver.Status, group ctview.Group) Action {
	if status.Received.Term > group.Term {
		return NoAction{}
	}
	if status.Role == ctserver.RoleReplica && status.Received.Term == group.Term {
		return NoAction{}
	}
	return Follow{Term: group.Term, Start: termStart(group), Primary: group.Primary}
}

// termStart returns the position where the group's term began, or 0 if the history
// does not record it.
func termStart(group ctview.Group) ctposition.Position {
	for _, s := range group.History {
		if s.Term == group.Term {
			return s.Position
		}
	}
	return 0
}
