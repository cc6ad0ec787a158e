package ctsql

// Statement is one parsed SQL statement. The types in this file implement it.
type Statement interface {
	isStatement()
}

// Value is a literal or a parameter.
type Value struct {
	// Text is the literal without quotes. It is empty for a parameter.
	Text string
	// Parameter is the number of the parameter, from 1. It is 0 for a literal.
	Parameter int
}

// Select reads the values of the rows with Key.
type Select struct {
	Table string
	Key   Value
}

// SelectAll reads all rows of a table.
type SelectAll struct {
	Table string
}

// Count counts the rows of a table. Only rows with Key count if HasKey is set.
type Count struct {
	Table  string
	Key    Value
	HasKey bool
}

// SelectLiteral returns a literal.
type SelectLiteral struct {
	Value Value
}

// Sleep waits for Seconds and returns an empty value.
type Sleep struct {
	Seconds Value
}

// DivideByZero always fails with an error.
type DivideByZero struct{}

// Insert adds a row.
type Insert struct {
	Table string
	Key   Value
	Value Value
}

// Update sets the value of the rows with Key.
type Update struct {
	Table string
	Key   Value
	Value Value
}

// Delete removes the rows with Key.
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

// Set changes a setting of the session, or of the transaction only.
type Set struct {
	Name  string
	Value string
	// Local reports whether the setting is the transaction's.
	Local bool
}

// SetTransaction changes a characteristic of the transaction, such as its isolation level.
type SetTransaction struct{}

// Show returns a setting of the session.
type Show struct {
	Name string
}

// Discard resets the session to its initial state.
type Discard struct{}

// Copy is a COPY statement. A stand-in starts it and never completes it.
type Copy struct{}

// ReadStatus reads the member's status.
type ReadStatus struct{}

// TryAdvisoryLock tries to acquire the holder's lock.
type TryAdvisoryLock struct{}

// CountOtherHolders counts the connections of holders whose application name is
// not Except.
type CountOtherHolders struct {
	Except string
}

// TerminateOthers closes the connections of holders whose application name is not
// Except.
type TerminateOthers struct {
	Except string
}

// Fence makes the member reject promotions, writes and log entries of terms before
// Term.
type Fence struct {
	Term uint64
}

// Promote makes the member the primary of Term.
type Promote struct {
	Term uint64
}

// Follow makes the member a replica of the primary at Address in Term. TermStart is the
// log position at which the term began.
type Follow struct {
	Term      uint64
	TermStart uint64
	Address   string
}

// ReadLog reads the log of Term, starting with the entry with the index From, which
// counts from 0.
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
func (SetTransaction) isStatement()    {}
func (Show) isStatement()              {}
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
	case Select, SelectAll, Count, SelectLiteral, Show, Sleep, DivideByZero, ReadStatus, TryAdvisoryLock,
		CountOtherHolders, TerminateOthers, Fence, Promote, Follow, ReadLog:
		return true
	}
	return false
}
