package ctreply

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

// What a Conversation remembers.
const (
	proofsKept = 1024
	faultsKept = 64
)

// Conversation is what was received on one connection to a member. The zero value is a
// new connection. It is not safe for concurrent use.
type Conversation struct {
	transaction ctquery.Transaction
	// mayBeOpen reports whether the member may have a transaction open if the last answer
	// was a repeat.
	mayBeOpen bool
	// point is the latest point that was received.
	point  ctposition.Point
	proofs fingerprints
	faults fingerprints
	// bare holds which successes without a proof were received.
	bare [ctquery.TransactionFailed + 1]bareSuccesses
	// confirmations counts the confirmations outside a transaction.
	confirmations uint8
	// shifted reports whether an answer was accepted that may be a repeat, since the last
	// one that can't be. The answers may be shifted by one then.
	shifted bool
}

// bareSuccesses says which successes without a proof were received in a state of the
// transaction.
type bareSuccesses struct {
	rowless  bool
	withRows bool
}

// received returns the place that records answers like a success without a proof.
func (c *Conversation) received(answer ctquery.Answer) *bool {
	b := &c.bare[answer.Transaction]
	if len(answer.Rows) > 0 {
		return &b.withRows
	}
	return &b.rowless
}

// faultText is what two faults have to share to look the same.
type faultText struct {
	fault ctquery.Fault
	text  string
}

// Transaction returns the state of the connection's transaction.
func (c *Conversation) Transaction() ctquery.Transaction {
	return c.transaction
}

// Judge returns the verdict on the next answer, and records the answer. After Unconfirmed,
// the confirmation comes before any other query.
func (c *Conversation) Judge(statement ctquery.Statement, answer ctquery.Answer) Verdict {
	doubt := c.doubtOf(statement, answer)
	verdict := InDoubt{Doubt: doubt, ProofSeen: answer.Proof != "" && c.proofs.has(fingerprintOf(answer.Proof))}
	repeat := c.mayRepeat(answer)
	_, begins := statement.(ctquery.Begin)
	c.mayBeOpen = begins || c.transaction != ctquery.TransactionNone
	c.record(answer)
	switch {
	case doubt != "":
		return verdict
	case answer.Proof != "":
		c.shifted = false
	case repeat && (!answer.OK() || needsConfirmation(statement)):
		return Unconfirmed{}
	case repeat:
		c.shifted = true
	}
	return Fits{}
}

// doubtOf returns why the answer can't belong to the statement, or "" if it can.
func (c *Conversation) doubtOf(statement ctquery.Statement, answer ctquery.Answer) Doubt {
	if doubt := c.doubtOfKind(statement, answer); doubt != "" {
		return doubt
	}
	switch {
	case !c.mayFollow(statement, answer):
		return DoubtTransaction
	case answer.Point.Term == c.point.Term && answer.Point.Position < c.point.Position:
		return DoubtPoint
	}
	return ""
}

// doubtOfKind is doubtOf for the proof and the rows of an answer.
func (c *Conversation) doubtOfKind(statement ctquery.Statement, answer ctquery.Answer) Doubt {
	proven := provesSuccess(statement)
	switch {
	case answer.OK() && proven && answer.Proof == "":
		return DoubtProofMissing
	case answer.Proof != "" && (!proven || !answer.OK()):
		return DoubtProofUnexpected
	case answer.Proof != "" && c.proofs.has(fingerprintOf(answer.Proof)):
		return DoubtProofRepeated
	case answer.OK() && !proven && len(answer.Rows) != rowsOf(statement):
		return DoubtRows
	}
	return ""
}

// mayRepeat reports whether an answer without a proof may be a repeat, or that of an earlier
// statement.
func (c *Conversation) mayRepeat(answer ctquery.Answer) bool {
	if answer.OK() {
		return c.shifted || *c.received(answer)
	}
	fault := fingerprintOf(faultText{answer.Fault, answer.Text})
	return c.shifted || len(c.faults.values) >= faultsKept || c.faults.has(fault)
}

func (c *Conversation) record(answer ctquery.Answer) {
	c.transaction = answer.Transaction
	c.point = ctposition.Later(c.point, answer.Point)
	switch {
	case answer.Proof != "":
		c.proofs.add(fingerprintOf(answer.Proof), proofsKept)
	case answer.OK():
		*c.received(answer) = true
	default:
		c.faults.add(fingerprintOf(faultText{answer.Fault, answer.Text}), faultsKept)
	}
}

// mayFollow reports whether the transaction may be in the answer's state after the statement.
func (c *Conversation) mayFollow(statement ctquery.Statement, answer ctquery.Answer) bool {
	if !answer.OK() {
		return c.mayFollowFault(statement, answer.Transaction)
	}
	switch statement.(type) {
	case ctquery.Begin:
		return answer.Transaction == ctquery.TransactionOpen
	case ctquery.Commit, ctquery.Rollback:
		return answer.Transaction == ctquery.TransactionNone
	}
	return answer.Transaction == c.transaction
}

// mayFollowFault reports whether the transaction may be in a state after the statement failed.
func (c *Conversation) mayFollowFault(statement ctquery.Statement, state ctquery.Transaction) bool {
	if _, commits := statement.(ctquery.Commit); commits {
		return state == ctquery.TransactionNone || state >= c.transaction
	}
	if c.transaction == ctquery.TransactionNone {
		return state == ctquery.TransactionNone
	}
	return state >= c.transaction
}

// provesSuccess reports whether the success of a statement carries a proof.
func provesSuccess(statement ctquery.Statement) bool {
	switch statement.(type) {
	case ctquery.Read, ctquery.Write, ctquery.Execute, ctquery.Commit:
		return true
	}
	return false
}

// rowsOf returns how many rows the success of a statement without a proof has.
func rowsOf(statement ctquery.Statement) int {
	switch statement.(type) {
	case ctquery.ReadStatus, ctquery.Pause, ctquery.Resume, ctquery.StepDown:
		return 1
	}
	return 0
}

// needsConfirmation reports whether more than the next answer rests on the success of a
// statement without a proof. After the others, such as a Set, a statement is sent at once.
func needsConfirmation(statement ctquery.Statement) bool {
	switch statement.(type) {
	case ctquery.Begin, ctquery.Rollback:
		return true
	}
	return rowsOf(statement) > 0
}
