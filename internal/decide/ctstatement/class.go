package ctstatement

// Class is the class of an SQL text for routing.
type Class uint8

// The classes. The zero value is Write, the class with the most restrictions: it
// runs on the primary, and is not sent again once it may have run.
const (
	// Write is any text that is not recognised as another class.
	Write Class = iota
	// Empty is a text without a statement.
	Empty
	// Select is one SELECT without a locking or INTO clause, or one SHOW.
	Select
	// Begin opens a transaction.
	Begin
	// BeginReadOnly opens a read-only transaction.
	BeginReadOnly
	// End commits or rolls back a transaction.
	End
	// SessionState changes session state that outlives the transaction.
	SessionState
	// Copy is a COPY statement, which transfers data with messages of its own.
	Copy
)

// String returns the class's name in snake case, or "unknown".
func (c Class) String() string {
	switch c {
	case Write:
		return "write"
	case Empty:
		return "empty"
	case Select:
		return "select"
	case Begin:
		return "begin"
	case BeginReadOnly:
		return "begin_read_only"
	case End:
		return "end"
	case SessionState:
		return "session_state"
	case Copy:
		return "copy"
	}
	return "unknown"
}

// SingleRead reports whether a request of the class is a single read. It can run
// in read-only mode, where the backend server refuses it as a whole if it writes.
func (c Class) SingleRead() bool {
	return c == Select
}

// Classify returns the class of an SQL text. It accepts any text.
func Classify(text string) Class {
	words, multiple := scan(text)
	if multiple {
		return Write
	}
	if len(words) == 0 {
		return Empty
	}
	return classifyWords(words)
}

func classifyWords(words []string) Class {
	switch words[0] {
	case "SELECT":
		return classifySelect(words)
	case "SHOW":
		return Select
	case "BEGIN", "START":
		return classifyBegin(words)
	case "COMMIT", "END", "ROLLBACK", "ABORT":
		return classifyEnd(words)
	case "SET", "RESET":
		return classifySet(words)
	case "LISTEN", "UNLISTEN", "PREPARE", "DEALLOCATE", "DISCARD", "LOAD":
		return classifySessionState(words)
	case "COPY":
		return Copy
	}
	return Write
}

// classifySelect returns Write if a SELECT may have an INTO or a locking clause
// (FOR UPDATE, FOR SHARE).
func classifySelect(words []string) Class {
	for _, w := range words[1:] {
		if w == "INTO" || w == "FOR" {
			return Write
		}
	}
	return Select
}

// classifyBegin returns BeginReadOnly if the access mode is READ ONLY.
func classifyBegin(words []string) Class {
	for i := 1; i < len(words); i++ {
		if words[i-1] == "READ" && words[i] == "ONLY" {
			return BeginReadOnly
		}
	}
	return Begin
}

// classifyEnd returns Write for statements that don't just end a transaction:
// ROLLBACK TO SAVEPOINT, COMMIT or ROLLBACK PREPARED, and AND CHAIN.
func classifyEnd(words []string) Class {
	for _, w := range words[1:] {
		switch w {
		case "TO", "PREPARED", "CHAIN":
			return Write
		}
	}
	return End
}

// classifySet returns Write for settings that apply to the transaction only.
func classifySet(words []string) Class {
	if len(words) > 1 {
		switch words[1] {
		case "LOCAL", "TRANSACTION", "CONSTRAINTS":
			return Write
		}
	}
	return SessionState
}

// classifySessionState returns Write for PREPARE TRANSACTION, which is no session
// state.
func classifySessionState(words []string) Class {
	if len(words) > 1 && words[1] == "TRANSACTION" {
		return Write
	}
	return SessionState
}
