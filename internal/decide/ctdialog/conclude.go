package ctdialog

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

// Result is what came of a Run: one of Replied, Refused and Lost.
type Result interface {
	isResult()
}

// Replied reports that the member answered the statement.
type Replied struct {
	Answer ctquery.Answer
	// Authorized reports whether the answer may be acknowledged: where the
	// statement is durable, the member was the primary until it arrived.
	Authorized bool
}

// Refused reports that the statement did not run and that no member is left to
// try.
type Refused struct {
	Fault ctquery.Fault
	Text  string
}

// Unanswered reports that the statement was sent and that its answer is missing.
type Unanswered struct {
	// TimedOut reports whether the statement's time ran out.
	TimedOut bool
}

func (Replied) isResult()    {}
func (Refused) isResult()    {}
func (Unanswered) isResult() {}

// Reply is what the caller is told, and what becomes of the connection.
type Reply struct {
	Answer ctquery.Answer
	// RetainConnection reports whether the connection stays with the session, because its
	// transaction is open. Otherwise it can serve others, if it still works and
	// the member has no transaction open on it.
	RetainConnection bool
	// Rollback reports whether what is open on the connection must be undone: by a
	// rollback where the connection still works, and by closing it otherwise.
	Rollback bool
}

// HandleResult takes what came of a run and returns what the caller is told.
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
		return Reply{Answer: answer, Rollback: true}
	}
	answer.Transaction = ctquery.TransactionNone
	return Reply{Answer: answer}
}

// handleFailedCommit tells of a COMMIT that the member refused or that failed. What
// did not run is undone with the connection.
func (d *Dialog) handleFailedCommit(run Run, answer ctquery.Answer) Reply {
	d.endTransaction()
	answer.Transaction = ctquery.TransactionNone
	if answer.Fault.NotRun() || run.Effect == EffectNone {
		answer.Fault = ctquery.FaultAborted
		answer.Text = "the member did not commit; the transaction is rolled back"
	}
	return Reply{Answer: answer, Rollback: true}
}

// endOrFailTransaction ends a transaction whose COMMIT has no answer, and fails one whose other
// statement has none.
func (d *Dialog) endOrFailTransaction(run Run) {
	_, commits := run.Query.Statement.(ctquery.Commit)
	switch {
	case commits:
		d.endTransaction()
	case d.stage != stageNone:
		d.stage = stageFailed
	}
}

func (d *Dialog) handleRefused(run Run, r Refused) Reply {
	d.endOrFailTransaction(run)
	answer := d.newAnswer()
	answer.Fault, answer.Text = r.Fault, r.Text
	return Reply{Answer: answer}
}

// handleUnanswered tells of a statement whose answer is missing. Its connection is closed,
// so that nothing of an open transaction stays.
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
