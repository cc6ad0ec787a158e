package ctdialog

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

// Result is the outcome of a Run: one of Replied, Refused and Unanswered.
type Result interface {
	isResult()
}

// Replied reports that the member answered the statement.
type Replied struct {
	Answer ctquery.Answer
	// Authorized reports whether the answer may be returned to the caller. For
	// a Run with EffectDurable, it is true only if the member was still the
	// primary when the answer arrived. It is ignored for other runs.
	Authorized bool
}

// Refused reports that the statement was sent to no member, or that none ran it. It had no
// effect, and nothing of its transaction is kept.
type Refused struct {
	Fault ctquery.Fault
	Text  string
}

// Unanswered reports that the statement was sent but no answer arrived.
type Unanswered struct {
	// TimedOut reports whether the statement timed out. If false, the
	// connection broke.
	TimedOut bool
}

func (Replied) isResult()    {}
func (Refused) isResult()    {}
func (Unanswered) isResult() {}

// Reply is the answer for the caller, with what to do with the connection.
type Reply struct {
	Answer ctquery.Answer
	// RetainConnection reports whether the session retains the connection,
	// because its transaction is open. Otherwise other sessions may use the
	// connection if it still works and the member has no transaction open on it.
	RetainConnection bool
	// Rollback reports whether the open transaction must be rolled back. If the
	// connection is broken, it is closed instead.
	Rollback bool
}

// HandleResult records the result of a run and returns the reply to the caller.
func (d *Dialog) HandleResult(run Run, result Result) Reply {
	switch r := result.(type) {
	case Replied:
		if !r.Authorized && run.Effect == EffectDurable {
			return d.handleUnanswered(run, Unanswered{})
		}
		return d.handleReplied(run, r.Answer)
	case Refused:
		return d.handleRefused(run, r)
	case Unanswered:
		return d.handleUnanswered(run, r)
	}
	return d.handleUnanswered(run, Unanswered{})
}

func (d *Dialog) handleReplied(run Run, answer ctquery.Answer) Reply {
	d.lastPoint = answer.Point
	_, commits := run.Query.Statement.(ctquery.Commit)
	switch {
	case answer.OK() && run.Effect == EffectTransaction:
		d.stage = stageOpen
		answer.Transaction = ctquery.TransactionOpen
		return Reply{Answer: answer, RetainConnection: true}
	case answer.OK():
		if run.Effect == EffectDurable {
			d.Written = ctposition.Later(d.Written, answer.Point)
		}
		d.endTransaction()
		answer.Transaction = ctquery.TransactionNone
		return Reply{Answer: answer}
	case commits:
		return d.handleFailedCommit(run, answer)
	case d.stage != stageNone:
		d.stage = stageFailed
		answer.Transaction = ctquery.TransactionFailed
		if answer.Fault == ctquery.FaultNoStatement {
			answer.Fault = ctquery.FaultAborted
			answer.Text = "the member lost a prepared statement; the transaction is rolled back"
		}
		return Reply{Answer: answer, Rollback: true}
	}
	answer.Transaction = ctquery.TransactionNone
	return Reply{Answer: answer}
}

// handleFailedCommit handles a COMMIT that the member refused or that failed. The
// fault becomes FaultAborted if nothing can have been committed: the COMMIT did not
// run, or the transaction only read. The reply's Rollback undoes what is still open.
func (d *Dialog) handleFailedCommit(run Run, answer ctquery.Answer) Reply {
	d.endTransaction()
	answer.Transaction = ctquery.TransactionNone
	if answer.Fault.NotRun() || run.Effect == EffectNone {
		answer.Fault = ctquery.FaultAborted
		answer.Text = "the member did not commit; the transaction is rolled back"
	}
	return Reply{Answer: answer, Rollback: true}
}

// endOrFailTransaction updates the transaction after a run without a member's
// answer: a COMMIT ends it, any other statement marks it as failed.
func (d *Dialog) endOrFailTransaction(run Run) {
	_, commits := run.Query.Statement.(ctquery.Commit)
	switch {
	case commits:
		d.endTransaction()
	case d.stage != stageNone:
		d.stage = stageFailed
	}
}

// handleRefused handles a statement that was not sent. The reply's Rollback undoes the
// transaction if a member has one open.
func (d *Dialog) handleRefused(run Run, r Refused) Reply {
	d.endOrFailTransaction(run)
	answer := d.newAnswer()
	answer.Fault, answer.Text = r.Fault, r.Text
	return Reply{Answer: answer, Rollback: true}
}

// handleUnanswered handles a statement without an answer. The reply's Rollback
// closes the connection, which makes the member undo an open transaction.
func (d *Dialog) handleUnanswered(run Run, u Unanswered) Reply {
	d.endOrFailTransaction(run)
	answer := d.newAnswer()
	switch {
	case run.Effect == EffectDurable:
		answer.Fault = ctquery.FaultOutcomeUnknown
		answer.Text = "the answer is missing; whether it took effect is not known"
	case u.TimedOut:
		answer.Fault = ctquery.FaultAborted
		answer.Text = "no answer in time; nothing is kept"
	default:
		answer.Fault = ctquery.FaultAborted
		answer.Text = "the connection to the member broke; nothing is kept"
	}
	return Reply{Answer: answer, Rollback: true}
}
