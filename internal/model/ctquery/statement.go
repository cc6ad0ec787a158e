package ctquery

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
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
	Item Text
}

// Write writes data to an item. The member receives the text of the caller
// unchanged.
type Write struct {
	Arguments Text
}

// Set sets a session variable.
type Set struct {
	Name  Word
	Value Text
}

// Shape is the body of a prepared statement. Writes reports whether it writes.
type Shape struct {
	Writes bool
	Text   Text
}

// sharedNameBytes is the part of a shape's digest that names it. Its hex form has twice the
// length.
const sharedNameBytes = 16

// SharedName returns the name under which the shape is prepared on connections to members.
// It is a digest of the shape: sessions that prepare the same shape can share the prepared
// statement of a connection, and no text of a caller occurs in the name.
func (s Shape) SharedName() Word {
	kind := byte('r')
	if s.Writes {
		kind = 'w'
	}
	digest := sha256.Sum256(append([]byte{kind}, s.Text...))
	return Word(hex.EncodeToString(digest[:sharedNameBytes]))
}

// Prepare creates a prepared statement for later use by Execute.
type Prepare struct {
	Name  Word
	Shape Shape
}

// Execute runs a prepared statement. The member receives the arguments of the
// caller unchanged.
type Execute struct {
	Name      Word
	Arguments Text
}

// Deallocate deletes a prepared statement.
type Deallocate struct {
	Name Text
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

// Query is a statement with its identifier and its freshness requirement.
type Query struct {
	ID        ID
	Statement Statement
	// MinPoint is the point that the member must have applied before it runs the
	// statement. The zero value requires nothing.
	MinPoint ctposition.Point
}

// Check returns an error of kind cterror.Invalid if a field of the query can't go on a line,
// or if no member may receive its statement.
func (q Query) Check() error {
	return errors.Join(append(checkFields(q.Statement), q.ID.Check())...)
}

// checkFields returns what is wrong with the fields of a statement.
func checkFields(statement Statement) []error {
	switch s := statement.(type) {
	case Read:
		return []error{s.Item.Check()}
	case Write:
		return []error{s.Arguments.Check()}
	case Set:
		return []error{s.Name.Check(), s.Value.Check()}
	case Prepare:
		return []error{s.Name.Check(), s.Shape.Text.Check()}
	case Execute:
		return []error{s.Name.Check(), s.Arguments.Check()}
	case Deallocate:
		return []error{s.Name.Check()}
	case nil, Malformed:
		return []error{cterror.New(cterror.Invalid, "a query has no statement", "send one")}
	}
	return nil
}
