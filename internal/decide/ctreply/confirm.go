package ctreply

import "github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"

// confirmingName is the name of the statement that a confirmation prepares and deallocates. It
// is short, as it is sent often. No shape has it: names of shapes are digests.
const confirmingName = "c"

// patternBits is how many pairs of statements a confirmation outside a transaction has.
const patternBits = 3

// preparing returns a pair of statements that leave the state of the transaction as it is.
func preparing() []ctquery.Statement {
	return []ctquery.Statement{
		ctquery.Prepare{Name: confirmingName, Shape: ctquery.Shape{Text: confirmingName}},
		ctquery.Deallocate{Name: confirmingName},
	}
}

// openConfirmation confirms an answer after which a transaction is open, or may be.
func openConfirmation() []ctquery.Statement {
	return append(preparing(), preparing()...)
}

// closedConfirmation confirms an answer after which no transaction is open. The states in its
// answers differ from those of the confirmations before, so that a repeat of one of them does
// not look like it.
func (c *Conversation) closedConfirmation() []ctquery.Statement {
	var statements []ctquery.Statement
	for bit := range patternBits {
		if c.confirmations>>bit&1 == 0 {
			statements = append(statements, preparing()...)
			continue
		}
		statements = append(statements, ctquery.Begin{ReadOnly: true}, ctquery.Rollback{})
	}
	c.confirmations++
	return statements
}

// Confirmation returns the statements that confirm the last answer. A failed transaction
// accepts nothing but its end, so it is rolled back.
func (c *Conversation) Confirmation() []ctquery.Statement {
	switch {
	case c.transaction == ctquery.TransactionFailed:
		return append([]ctquery.Statement{ctquery.Rollback{}}, c.closedConfirmation()...)
	case c.mayBeOpen:
		return openConfirmation()
	}
	return c.closedConfirmation()
}

// AheadConfirmation returns the statements to send together with a statement, because the
// answer to it may have to be confirmed. There are none for most statements.
func (c *Conversation) AheadConfirmation(statement ctquery.Statement) []ctquery.Statement {
	_, begins := statement.(ctquery.Begin)
	switch {
	case !c.bareSuccessMayRepeat(statement):
		return nil
	case begins || (rowsOf(statement) > 0 && c.transaction != ctquery.TransactionNone):
		return openConfirmation()
	}
	return c.closedConfirmation()
}

// bareSuccessMayRepeat reports whether a statement has to be confirmed and a success like its
// own was received before.
func (c *Conversation) bareSuccessMayRepeat(statement ctquery.Statement) bool {
	if !needsConfirmation(statement) {
		return false
	}
	state := c.transaction
	switch statement.(type) {
	case ctquery.Begin:
		state = ctquery.TransactionOpen
	case ctquery.Rollback:
		state = ctquery.TransactionNone
	}
	if rowsOf(statement) > 0 {
		return c.shifted || c.bare[state].withRows
	}
	return c.shifted || c.bare[state].rowless
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
