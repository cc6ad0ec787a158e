package ctstatement

// Class is the sort of work that a statement asks for.
type Class uint8

// The classes. The zero value is Write, the one that promises least.
const (
	// Write is everything that is not known to be something else.
	Write Class = iota
	// Empty has no statement.
	Empty
	// Select is one SELECT without a locking or INTO clause.
	Select
	// Begin opens a transaction.
	Begin
	// BeginReadOnly opens a read-only transaction.
	BeginReadOnly
	// End commits or rolls back a transaction.
	End
	// SessionState changes state that outlives the transaction.
	SessionState
	// Copy moves data in or out of band.
	Copy
)

// String names the class in snake case.
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

// SingleRead reports whether a request of the class is one read that a backend
// server refuses as a whole when it proves to write.
func (c Class) SingleRead() bool {
	return c == Select
}

// Classify tells the class of an SQL text.
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

// classifySelect looks for the clauses that make a SELECT write or lock.
func classifySelect(words []string) Class {
	for _, w := range words[1:] {
		if w == "INTO" || w == "FOR" {
			return Write
		}
	}
	return Select
}

// classifyBegin looks for the transaction's access mode.
func classifyBegin(words []string) Class {
	for i := 1; i < len(words); i++ {
		if words[i-1] == "READ" && words[i] == "ONLY" {
			return BeginReadOnly
		}
	}
	return Begin
}

// classifyEnd tells the end of a transaction from a return to a savepoint and
// from the phases of a prepared transaction.
func classifyEnd(words []string) Class {
	for _, w := range words[1:] {
		switch w {
		case "TO", "PREPARED", "CHAIN":
			return Write
		}
	}
	return End
}

// classifySet tells state of the session from state of the transaction.
func classifySet(words []string) Class {
	if len(words) > 1 {
		switch words[1] {
		case "LOCAL", "TRANSACTION", "CONSTRAINTS":
			return Write
		}
	}
	return SessionState
}

// classifySessionState tells PREPARE TRANSACTION from PREPARE.
func classifySessionState(words []string) Class {
	if len(words) > 1 && words[1] == "TRANSACTION" {
		return Write
	}
	return SessionState
}
