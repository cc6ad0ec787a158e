package ctdialog

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

// stage tells what a session's transaction is doing.
type stage uint8

const (
	// stageNone means that no transaction is open.
	stageNone stage = iota
	// stageDeclared means that the caller began one that no member knows of.
	stageDeclared
	// stageOpen means that a member has it open.
	stageOpen
	// stageFailed means that it failed, and the caller has to end it.
	stageFailed
)

// Dialog is a caller's session. Its zero value is a session that asked nothing.
type Dialog struct {
	// Written covers the commits of the session.
	Written ctposition.Point

	state State
	stage stage
	// readOnly reports whether the transaction was begun as read-only, and
	// wrote whether it sent a write.
	readOnly bool
	wrote    bool
	// unreportedTimeout reports that the transaction failed while the caller rested.
	unreportedTimeout bool
	// begin is the query that began the transaction.
	begin ctquery.Query
	// lastPoint is the latest place in a log that an answer told.
	lastPoint ctposition.Point
}

// Plan is one of Answer and Run.
type Plan interface {
	isPlan()
}

// Answer answers the caller without a member.
type Answer struct {
	Answer ctquery.Answer
	// Rollback reports whether the connection of the transaction is to be rolled
	// back and given up.
	Rollback bool
}

// Run runs a statement on a member.
type Run struct {
	Query ctquery.Query
	// Begin is the query that begins the transaction before; its statement is
	// nil where there is none to begin.
	Begin ctquery.Query
	// Pinned reports whether the statement has to run on the connection of the
	// open transaction.
	Pinned bool
	// Primary reports whether only the primary may run it, whatever the route
	// says.
	Primary bool
	// Effect tells what may be left of the statement when its answer is lost.
	Effect Effect
}

func (Answer) isPlan() {}
func (Run) isPlan()    {}

// Effect tells what a statement may leave behind.
type Effect uint8

// The effects.
const (
	// EffectNone: a read, or a commit of a transaction that only read.
	EffectNone Effect = iota
	// EffectTransaction: a statement inside a transaction, which is undone when
	// its connection ends.
	EffectTransaction
	// EffectDurable: a single write, or the commit of a transaction that wrote.
	EffectDurable
)

// InTransaction reports whether the caller is in a transaction.
func (d *Dialog) InTransaction() bool {
	return d.stage != stageNone
}

// Pinned reports whether a member has a transaction of the session open.
func (d *Dialog) Pinned() bool {
	return d.stage == stageOpen
}

// State returns the session's values and prepared statements.
func (d *Dialog) State() *State {
	return &d.state
}

// ReadsOwnWrites reports whether reads on the route have to show the session's own
// commits.
func ReadsOwnWrites(route *ctconfig.Route) bool {
	return route.Freshness == ctconfig.FreshnessSession
}

// HandleQuery takes the caller's next query.
func (d *Dialog) HandleQuery(query ctquery.Query) Plan {
	if d.stage == stageFailed {
		return d.handleFailedStage(query.Statement)
	}
	switch s := query.Statement.(type) {
	case ctquery.Begin:
		return d.handleBegin(query, s)
	case ctquery.Rollback:
		return d.handleRollback()
	case ctquery.Commit:
		return d.handleCommit(query)
	case ctquery.Set:
		d.state.set(s)
		return d.answerOK()
	case ctquery.Prepare:
		d.state.prepare(s)
		return d.answerOK()
	case ctquery.Deallocate:
		d.state.deallocate(s)
		return d.answerOK()
	case ctquery.Read:
		return d.planStatement(query, false)
	case ctquery.Write:
		return d.planStatement(query, true)
	case ctquery.Execute:
		return d.handleExecute(query, s)
	}
	return d.answerFault(ctquery.FaultMalformed, "the statement is not one that callers may send")
}

// handleFailedStage takes a query inside a failed transaction: only its end counts.
func (d *Dialog) handleFailedStage(statement ctquery.Statement) Plan {
	switch statement.(type) {
	case ctquery.Rollback:
		d.endTransaction()
		return d.answerOK()
	case ctquery.Commit:
		d.endTransaction()
		return d.answerFault(ctquery.FaultAborted, "the transaction had failed and is rolled back")
	}
	if d.unreportedTimeout {
		d.unreportedTimeout = false
		return d.answerFault(ctquery.FaultAborted, "the transaction idled for too long and is rolled back")
	}
	return d.answerFault(ctquery.FaultMalformed, "the transaction failed; end it first")
}

func (d *Dialog) handleBegin(query ctquery.Query, begin ctquery.Begin) Plan {
	if d.stage != stageNone {
		return d.answerFault(ctquery.FaultMalformed, "a transaction is open already")
	}
	d.stage = stageDeclared
	d.readOnly = begin.ReadOnly
	d.wrote = false
	d.begin = query
	return d.answerOK()
}

func (d *Dialog) handleRollback() Plan {
	rollback := d.stage == stageOpen
	d.endTransaction()
	return Answer{Answer: d.newAnswer(), Rollback: rollback}
}

func (d *Dialog) handleCommit(query ctquery.Query) Plan {
	if d.stage == stageNone {
		return d.answerFault(ctquery.FaultMalformed, "no transaction is open")
	}
	effect := EffectNone
	if d.wrote {
		effect = EffectDurable
	}
	return d.newRun(query, effect)
}

func (d *Dialog) handleExecute(query ctquery.Query, execute ctquery.Execute) Plan {
	shape, ok := d.state.prepared[execute.Name]
	if !ok {
		return d.answerFault(ctquery.FaultNoStatement, "no statement of that name is prepared in this session")
	}
	query.Statement = ctquery.Execute{Name: SharedName(shape), Arguments: execute.Arguments}
	return d.planStatement(query, shape.Writes)
}

// planStatement plans a read or a write.
func (d *Dialog) planStatement(query ctquery.Query, writes bool) Plan {
	if d.stage == stageNone {
		if writes {
			return d.newRun(query, EffectDurable)
		}
		return d.newRun(query, EffectNone)
	}
	if writes {
		d.wrote = true
	}
	return d.newRun(query, EffectTransaction)
}

func (d *Dialog) newRun(query ctquery.Query, effect Effect) Plan {
	run := Run{Query: query, Effect: effect, Pinned: d.stage == stageOpen}
	switch d.stage {
	case stageDeclared:
		run.Begin = d.begin
		run.Primary = !d.readOnly
	case stageNone:
		run.Primary = effect == EffectDurable
	default:
	}
	return run
}

// FailTransaction marks the open transaction as failed, as when it idled for too long, and
// reports whether there was one.
func (d *Dialog) FailTransaction() bool {
	if d.stage != stageOpen && d.stage != stageDeclared {
		return false
	}
	d.stage = stageFailed
	d.unreportedTimeout = true
	return true
}

func (d *Dialog) endTransaction() {
	d.unreportedTimeout = false
	d.stage = stageNone
	d.wrote = false
	d.begin = ctquery.Query{}
}

// newAnswer returns an answer of the system's own.
func (d *Dialog) newAnswer() ctquery.Answer {
	return ctquery.Answer{Transaction: d.transactionState(), Point: d.lastPoint}
}

func (d *Dialog) answerOK() Plan {
	return Answer{Answer: d.newAnswer()}
}

// answerFault refuses a query. An open transaction fails with it, except where the
// query was refused because it had failed before.
func (d *Dialog) answerFault(fault ctquery.Fault, text string) Plan {
	rollback := d.stage == stageOpen
	if d.stage != stageNone {
		d.stage = stageFailed
	}
	answer := d.newAnswer()
	answer.Fault, answer.Text = fault, text
	return Answer{Answer: answer, Rollback: rollback}
}

func (d *Dialog) transactionState() ctquery.Transaction {
	switch d.stage {
	case stageDeclared, stageOpen:
		return ctquery.TransactionOpen
	case stageFailed:
		return ctquery.TransactionFailed
	default:
		return ctquery.TransactionNone
	}
}
