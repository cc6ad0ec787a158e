package ctreconcile

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Action is one of Nothing, Fence, Promote and Follow.
type Action interface {
	isAction()
}

// NoAction means that the member is what it should be.
type NoAction struct{}

// Fence asks to make the member take nothing of terms before Term.
type Fence struct {
	Term ctposition.Term
}

// Promote asks to make the member the primary of Term.
type Promote struct {
	Term ctposition.Term
}

// Follow asks to make the member follow Primary in Term, from Start of which it drops
// what it holds beyond.
type Follow struct {
	Term    ctposition.Term
	Start   ctposition.Position
	Primary ctid.Member
}

func (NoAction) isAction() {}
func (Fence) isAction()    {}
func (Promote) isAction()  {}
func (Follow) isAction()   {}

// Next returns what must be done to the member now.
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

func primaryAction(status ctserver.Status, group ctview.Group) Action {
	if status.Role == ctserver.RolePrimary && status.Received.Term == group.Term {
		return NoAction{}
	}
	if status.Received.Term > group.Term || status.Fence > group.Term {
		return NoAction{}
	}
	return Promote{Term: group.Term}
}

func replicaAction(status ctserver.Status, group ctview.Group) Action {
	if status.Received.Term > group.Term {
		return NoAction{}
	}
	if status.Role == ctserver.RoleReplica && status.Received.Term == group.Term {
		return NoAction{}
	}
	return Follow{Term: group.Term, Start: termStart(group), Primary: group.Primary}
}

// termStart returns where the group's term began.
func termStart(group ctview.Group) ctposition.Position {
	for _, s := range group.History {
		if s.Term == group.Term {
			return s.Position
		}
	}
	return 0
}
