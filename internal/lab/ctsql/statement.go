package ctsql

// Statement is one SQL statement.
type Statement interface {
	isStatement()
}

// Value is a literal, or a parameter where Parameter is its number from 1.
type Value struct {
	Text      string
	Parameter int
}

// Select reads the value of the rows with a key.
type Select struct {
	Table string
	Key   Value
}

// SelectAll reads all rows of a table.
type SelectAll struct {
	Table string
}

// Count counts the rows of a table, or those with a key.
type Count struct {
	Table  string
	Key    Value
	HasKey bool
}

// SelectLiteral returns a literal.
type SelectLiteral struct {
	Value Value
}

// Sleep takes the stated time and returns an empty value.
type Sleep struct {
	Seconds Value
}

// DivideByZero fails.
type DivideByZero struct{}

// Insert adds a row.
type Insert struct {
	Table string
	Key   Value
	Value Value
}

// Update sets the value of the rows with a key.
type Update struct {
	Table string
	Key   Value
	Value Value
}

// Delete removes the rows with a key.
type Delete struct {
	Table string
	Key   Value
}

// Begin opens a transaction.
type Begin struct {
	ReadOnly bool
}

// Commit commits the transaction.
type Commit struct{}

// Rollback rolls the transaction back.
type Rollback struct{}

// Set changes a setting of the session.
type Set struct {
	Name  string
	Value string
}

// Discard returns the session to its first state.
type Discard struct{}

// Copy moves data out of band, which a stand-in begins and never ends.
type Copy struct{}

// ReadStatus reads the member's status.
type ReadStatus struct{}

// TryAdvisoryLock tries to take the holder's lock.
type TryAdvisoryLock struct{}

// CountOtherHolders counts the connections of other holders than the labelled one.
type CountOtherHolders struct {
	Except string
}

// TerminateOthers ends the connections of other holders than the labelled one.
type TerminateOthers struct {
	Except string
}

// Fence makes the member take nothing of terms before Term.
type Fence struct {
	Term uint64
}

// Promote makes the member the primary of Term.
type Promote struct {
	Term uint64
}

// Follow makes the member follow the primary at Address in Term, which began at
// Start.
type Follow struct {
	Term    uint64
	Start   uint64
	Address string
}

// ReadLog reads the log of Term from the entry number From on.
type ReadLog struct {
	Term uint64
	From uint64
}

func (Select) isStatement()            {}
func (SelectAll) isStatement()         {}
func (Count) isStatement()             {}
func (SelectLiteral) isStatement()     {}
func (Sleep) isStatement()             {}
func (DivideByZero) isStatement()      {}
func (Insert) isStatement()            {}
func (Update) isStatement()            {}
func (Delete) isStatement()            {}
func (Begin) isStatement()             {}
func (Commit) isStatement()            {}
func (Rollback) isStatement()          {}
func (Set) isStatement()               {}
func (Discard) isStatement()           {}
func (Copy) isStatement()              {}
func (ReadStatus) isStatement()        {}
func (TryAdvisoryLock) isStatement()   {}
func (CountOtherHolders) isStatement() {}
func (TerminateOthers) isStatement()   {}
func (Fence) isStatement()             {}
func (Promote) isStatement()           {}
func (Follow) isStatement()            {}
func (ReadLog) isStatement()           {}

// ChangesRows reports whether a statement changes rows.
func ChangesRows(statement Statement) bool {
	switch statement.(type) {
	case Insert, Update, Delete:
		return true
	}
	return false
}

// ReturnsRows reports whether a statement returns rows.
func ReturnsRows(statement Statement) bool {
	switch statement.(type) {
	case Select, SelectAll, Count, SelectLiteral, Sleep, DivideByZero, ReadStatus, TryAdvisoryLock,
		CountOtherHolders, TerminateOthers, Fence, Promote, Follow, ReadLog:
		return true
	}
	return false
}
