package ctreply

import "github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"

// confirmingName is the name of the statement that a confirmation prepares and deallocates.
// No shape has it: names of shapes are digests.
const confirmingName = "confirmation"

// Confirmation returns the statements that confirm the last answer. A failed transaction
// accepts nothing but its end, so it is rolled back.
func (c *Conversation) Confirmation() []ctquery.Statement {
	confirming := []ctquery.Statement{
		ctquery.Prepare{Name: confirmingName, Shape: ctquery.Shape{Text: confirmingName}},
		ctquery.Deallocate{Name: confirmingName},
	}
	if c.transaction == ctquery.TransactionFailed {
		return append([]ctquery.Statement{ctquery.Rollback{}}, confirming...)
	}
	return confirming
}

// JudgeConfirmation returns the verdict on the answer to a confirming statement: Fits or
// InDoubt. Once all of them fit, Confirmed must be called.
func (c *Conversation) JudgeConfirmation(statement ctquery.Statement, answer ctquery.Answer) Verdict {
	doubt := c.doubtOf(statement, answer)
	if doubt == "" && !answer.OK() {
		doubt = DoubtConfirmation
	}
	c.record(answer)
	if doubt != "" {
		return InDoubt{Doubt: doubt}
	}
	return Fits{}
}

// Confirmed records that all confirming statements were answered and fit.
func (c *Conversation) Confirmed() {
	c.shifted = false
}
