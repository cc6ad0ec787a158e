package ctquery

// Malformed stands for the text of a query that can't be decoded, or that can't be passed on
// to a member. It is answered with FaultMalformed and sent to no member.
type Malformed struct {
	Reason MalformedReason
	// Offset is the position in the line of the first byte that can't be accepted, and Byte
	// that byte. Byte is 0 if the line ends there.
	Offset int
	Byte   byte
}

// MalformedReason says what is wrong with a text. It is a value of logs and metrics.
type MalformedReason string

// The reasons.
const (
	// MalformedStatement: the line is no query, or its statement is not one that callers may
	// send.
	MalformedStatement MalformedReason = "statement"
	// MalformedTooLong: the line is longer than any line may be. Its session ends.
	MalformedTooLong MalformedReason = "too_long"
	// MalformedID: the id is missing, or is the one that stands for no id.
	MalformedID MalformedReason = "id"
	// MalformedLineFeed: the line contains an LF that is not part of its end.
	MalformedLineFeed MalformedReason = "line_feed"
)

func (Malformed) isStatement() {}
