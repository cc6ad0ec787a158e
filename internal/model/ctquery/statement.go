package ctquery

import "github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"

// Statement is one statement of a caller, or of the system itself.
type Statement interface {
	isStatement()
}

// Begin begins a transaction.
type Begin struct {
	ReadOnly bool
}

// Commit commits the open transaction.
type Commit struct{}

// Rollback rolls the open transaction back.
type Rollback struct{}

// Read reads an item. The text is passed on as the caller wrote it.
type Read struct {
	Item string
}

// Write writes data to an item. The text is passed on as the caller wrote it.
type Write struct {
	Arguments string
}

// Set sets a session value.
type Set struct {
	Name  string
	Value string
}

// Shape is what a prepared statement does.
type Shape struct {
	Writes bool
	Text   string
}

// Prepare names a shape for later use.
type Prepare struct {
	Name  string
	Shape Shape
}

// Execute runs a prepared statement. The arguments are passed on as the caller
// wrote them.
type Execute struct {
	Name      string
	Arguments string
}

// Deallocate forgets a prepared statement.
type Deallocate struct {
	Name string
}

// Reset clears a connection's session values and prepared statements.
type Reset struct{}

// ReadStatus asks a member for its status.
type ReadStatus struct{}

// Pause stops a replica from receiving, below the term.
type Pause struct {
	Term ctposition.Term
}

// Resume ends a Pause.
type Resume struct{}

// StepDown makes a primary of a lower term a replica.
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

// ID is the identifier that a caller gave a query. It is empty for the system's
// own queries.
type ID string

// Query is a statement with what belongs to it.
type Query struct {
	ID        ID
	Statement Statement
	// MinPoint is the point that the member must have applied before it runs the
	// statement; the zero value for none.
	MinPoint ctposition.Point
}
