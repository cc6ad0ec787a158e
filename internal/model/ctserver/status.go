package ctserver

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// StatusQuery is the statement that reads a member's status. It is the only
// statement besides those of callers that every database group must support.
const StatusQuery = "SELECT role, term, received, applied, fence, incarnation FROM group_status"

// Status is the answer of a member to StatusQuery.
type Status struct {
	Role Role `json:"role,omitempty" cbor:"role,omitempty"`
	// Received is the point up to which the member has stored the log durably.
	Received ctposition.Point `json:"received" cbor:"received"`
	// Applied is the point up to which reads on the member show the log.
	Applied ctposition.Point `json:"applied" cbor:"applied"`
	// Fence is the lowest term of which the member still accepts anything.
	Fence       ctposition.Term  `json:"fence" cbor:"fence"`
	Incarnation ctid.Incarnation `json:"incarnation" cbor:"incarnation"`
}
