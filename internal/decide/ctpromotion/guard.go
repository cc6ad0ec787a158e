package ctpromotion

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// Holds reports whether the status of a member shows that its promotion can't lose a commit
// at a point: it was not promoted before, and has received the point. A member that
// follows a later term may lack the commit.
func Holds(status ctquery.Status, point ctposition.Point) bool {
	received := status.Received
	follows := status.Role == ctserver.RoleReplica && status.Term <= point.Term
	return follows && received.Term == point.Term && received.Position >= point.Position
}
