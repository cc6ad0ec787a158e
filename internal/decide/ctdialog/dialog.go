package ctdialog

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

// stage is the state of a session's transaction.
type stage uint8

const (
	// stageNone means that no transaction is open.
	stageNone stage = iota
	// stageDeclared means that the caller sent BEGIN, which no member has
	// received yet.
	stageDeclared
	// stageOpen means that a member has the transaction open.
	stageOpen
	// stageFailed means that the transaction failed. Only COMMIT or ROLLBACK is
	// accepted.
	stageFailed
)

// Dialog is the state of a caller's session. The zero value is a new session. It
// is not safe for concurrent use.
type Dialog struct {
	// Written is the latest point of the session's own commits; zero if there
	// are none.
	Written ctposition.Point

	state State
	stage stage
	// readOnly reports whether the transaction was begun as read-only, and
	// wrote whether a write was planned in it.
	readOnly bool
	wrote    bool
	// unreported is why the transaction failed between two queries, if the caller has not
	// received that error yet.
	unreported TransactionFailure
	// begin is the caller's query that began the transaction.
	begin ctquery.Query
	// lastPoint is the log point of the latest answer of a member.
	lastPoint ctposition.Point
}

// Plan says how to handle a query: one of Answer and Run.
type Plan interface {
	isPlan()
}

// Answer is a plan that answers the caller without using a member.
type Answer struct {
	Answer ctquery.Answer
	// Rollback reports whether to roll back the open transaction and release
	// its connection.
	Rollback bool
}

// Run is a plan that runs a statement on a member.
type Run struct {
	Query ctquery.Query
	// Begin is the query to run first, to begin the transaction. Its statement
	// is nil if there is no transaction to begin.
	Begin ctquery.Query
	// Pinned reports whether the statement has to run on the connection of the
	// open transaction.
	Pinned bool
	// Primary reports whether only the primary may run the statement, even if
	// the route allows replicas.
	Primary bool
	// Effect is what the statement may have changed if its answer is missing.
	Effect Effect
}

func (Answer) isPlan() {}
func (Run) isPlan()    {}

// Effect is what a statement may have changed when its answer is missing.
type Effect uint8

// The effects, from none to lasting.
const (
	// EffectNone: a read, or the commit of a transaction that only read.
	EffectNone Effect = iota
	// EffectTransaction: a statement inside a transaction, which is undone when
	// its connection is closed.
	EffectTransaction
	// EffectDurable: a single write, or the commit of a transaction that wrote.
	EffectDurable
)

// InTransaction reports whether the caller is in a transaction. This includes a
// failed one and one that no member has received yet.
func (d *Dialog) InTransaction() bool {
	return d.stage != stageNone
}

// Pinned reports whether a member has a transaction of the session open.
func (d *Dialog) Pinned() bool {
	return d.stage == stageOpen
}

// State returns the session's parameters and prepared statements. The Dialog
// owns the result and updates it on later queries.
func (d *Dialog) State() *State {
	return &d.state
}

// ReadsOwnWrites reports whether reads on the route must include the session's
// own commits.
func ReadsOwnWrites(route *ctconfig.Route) bool {
	return route.Freshness == ctconfig.FreshnessSession
}

// HandleQuery returns the plan for the caller's next query. If it is a Run, its
// result must be passed to HandleResult before the next query.
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

// RefuseQuery returns the plan for a query that is refused with a fault and changes nothing but the
// transaction, which fails.
func (d *Dialog) RefuseQuery(fault ctquery.Fault, text string) Answer {
	return d.answerFault(fault, text)
}

// handleFailedStage handles a query in a failed transaction. Only COMMIT and
// ROLLBACK are accepted; both end it.
func (d *Dialog) handleFailedStage(statement ctquery.Statement) Plan {
	switch statement.(type) {
	case ctquery.Rollback:
		d.endTransaction()
		return d.answerOK()
	case ctquery.Commit:
		d.endTransaction()
		return d.answerFault(ctquery.FaultAborted, "the transaction had failed and is rolled back")
	}
	if failure := d.unreported; failure != FailureNone {
		d.unreported = FailureNone
		return d.answerFault(ctquery.FaultAborted, failure.text())
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
	p, ok := d.state.prepared[execute.Name]
	if !ok {
		return d.answerFault(ctquery.FaultNoStatement, "no statement of that name is prepared in this session")
	}
	query.Statement = ctquery.Execute{Name: p.sharedName, Arguments: execute.Arguments}
	return d.planStatement(query, p.shape.Writes)
}

// planStatement plans a read or a write, inside or outside a transaction.
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

// TransactionFailure says why a transaction failed between two queries.
type TransactionFailure uint8

// The reasons for which a transaction fails between two queries.
const (
	FailureNone TransactionFailure = iota
	// FailureIdle means that it idled for too long.
	FailureIdle
	// FailureKeyWithdrawn means that the caller's key identifies its workspace no more.
	FailureKeyWithdrawn
)

// text describes the failure to the caller.
func (f TransactionFailure) text() string {
	if f == FailureKeyWithdrawn {
		return "the key was withdrawn and the transaction is rolled back"
	}
	return "the transaction idled for too long and is rolled back"
}

// FailTransaction marks the open transaction as failed, and reports whether there was
// one. The caller receives the error as the answer to its next query. The driver rolls
// the connection back.
func (d *Dialog) FailTransaction(failure TransactionFailure) bool {
	if d.stage != stageOpen && d.stage != stageDeclared {
		return false
	}
	d.stage = stageFailed
	d.unreported = failure
	return true
}

func (d *Dialog) endTransaction() {
	d.unreported = FailureNone
	d.stage = stageNone
	d.wrote = false
	d.begin = ctquery.Query{}
}

// newAnswer returns an answer that comes from the proxy instead of a member.
func (d *Dialog) newAnswer() ctquery.Answer {
	return ctquery.Answer{Transaction: d.transactionState(), Point: d.lastPoint}
}

func (d *Dialog) answerOK() Plan {
	return Answer{Answer: d.newAnswer()}
}

// answerFault refuses a query with a fault and marks any transaction as failed.
// The answer's Rollback is set if a member had the transaction open.
func (d *Dialog) answerFault(fault ctquery.Fault, text string) Answer {
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
