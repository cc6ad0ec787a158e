package ctreply

// Verdict says whether an answer belongs to its query: one of Fits, Unconfirmed and
// InDoubt.
type Verdict interface {
	isVerdict()
}

// Fits is the verdict on an answer that belongs to the query, as far as can be told.
type Fits struct{}

// Unconfirmed is the verdict on an answer that may be a repeat of an earlier one.
type Unconfirmed struct{}

// InDoubt is the verdict on an answer that does not belong to the query. The connection
// can't be used any more, and what became of the query is unknown.
type InDoubt struct {
	Doubt Doubt
	// ProofSeen reports whether the answer's proof was received before on the connection.
	ProofSeen bool
}

func (Fits) isVerdict()        {}
func (Unconfirmed) isVerdict() {}
func (InDoubt) isVerdict()     {}

// Doubt is the reason why an answer is in doubt.
type Doubt string

// The doubts.
const (
	// DoubtUnasked: the answer arrived while no query was outstanding.
	DoubtUnasked Doubt = "unasked"
	// DoubtMalformed: what arrived is not an answer.
	DoubtMalformed Doubt = "malformed"
	// DoubtProofMissing: a read, a write or a commit succeeded without a proof.
	DoubtProofMissing Doubt = "proof_missing"
	// DoubtProofUnexpected: another statement succeeded with a proof.
	DoubtProofUnexpected Doubt = "proof_unexpected"
	// DoubtProofRepeated: the proof was received before.
	DoubtProofRepeated Doubt = "proof_repeated"
	// DoubtRows: the statement can't have that number of rows.
	DoubtRows Doubt = "rows"
	// DoubtTransaction: the transaction can't be in that state after the statement.
	DoubtTransaction Doubt = "transaction"
	// DoubtPoint: the point is before an earlier one of the same term.
	DoubtPoint Doubt = "point"
	// DoubtConfirmation: a confirming statement was answered with a fault.
	DoubtConfirmation Doubt = "confirmation"
)
