package ctquery

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// Statement is one statement of a caller, a proxy or control. The types of this
// package are its only implementations.
type Statement interface {
	isStatement()
}

// Begin starts a transaction.
type Begin struct {
	ReadOnly bool
}

// Commit commits the open transaction.
type Commit struct{}

// Rollback rolls back the open transaction.
type Rollback struct{}

// Read reads an item. The member receives the text of the caller unchanged.
type Read struct {
	Item string
}

// Write writes data to an item. The member receives the text of the caller
// unchanged.
type Write struct {
	Arguments string
}

// Set sets a session variable.
type Set struct {
	Name  string
	Value string
}

// Shape is the body of a prepared statement. Writes reports whether it writes.
type Shape struct {
	Writes bool
	Text   string
}

// sharedNameBytes is the part of a shape's digest that names it. Its hex form has twice the
// length.
const sharedNameBytes = 16

// SharedName returns the name under which the shape is prepared on connections to members.
// It is a digest of the shape: sessions that prepare the same shape can share the prepared
// statement of a connection, and no text of a caller occurs in the name.
func (s Shape) SharedName() string {
	kind := byte('r')
	if s.Writes {
		kind = 'w'
	}
	digest := sha256.Sum256(append([]byte{kind}, s.Text...))
	return hex.EncodeToString(digest[:sharedNameBytes])
}

// Prepare creates a prepared statement for later use by Execute.
type Prepare struct {
	Name  string
	Shape Shape
}

// Execute runs a prepared statement. The member receives the arguments of the
// caller unchanged.
type Execute struct {
	Name      string
	Arguments string
}

// Deallocate deletes a prepared statement.
type Deallocate struct {
	Name string
}

// Reset deletes a connection's session variables and prepared statements.
type Reset struct{}

// ReadStatus requests the Status of a member.
type ReadStatus struct{}

// Pause stops a replica from receiving log entries of terms below Term.
type Pause struct {
	Term ctposition.Term
}

// Resume ends a Pause.
type Resume struct{}

// StepDown demotes a primary to a replica if its term is below Term.
type StepDown struct {
	Term ctposition.Term
}

func (Begin) isStatement()      {}
func (Commit) isStatement()     {}
func (Rollback) isStatement()   {}
func (Read) isStatement()       {}
func (Write) isStatement()      {}
func (Set) isStatement()        {}
func (Prepare) isStatement()    {}
func (Execute) isStatement()    {}
func (Deallocate) isStatement() {}
func (Reset) isStatement()      {}
func (ReadStatus) isStatement() {}
func (Pause) isStatement()      {}
func (Resume) isStatement()     {}
func (StepDown) isStatement()   {}

// ID is the identifier that a caller assigned to a query. It is empty for queries
// that a proxy or control sends on its own.
type ID string

// Query is a statement with its identifier and its freshness requirement.
type Query struct {
	ID        ID
	Statement Statement
	// MinPoint is the point that the member must have applied before it runs the
	// statement. The zero value requires nothing.
	MinPoint ctposition.Point
}
