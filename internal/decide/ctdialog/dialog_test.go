package ctdialog_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

func handle(d *ctdialog.Dialog, statement ctquery.Statement) ctdialog.Plan {
	return d.HandleQuery(ctquery.Query{ID: "q", Statement: statement})
}

// assertAnswered checks that a plan answers the statement without a member.
func assertAnswered(t *testing.T, plan ctdialog.Plan, fault ctquery.Fault, state ctquery.Transaction) {
	t.Helper()
	answer, ok := plan.(ctdialog.Answer)
	assert.Assert(t, ok, "%T", plan)
	assert.Equal(t, answer.Answer.Fault, fault)
	assert.Equal(t, answer.Answer.Transaction, state)
}

// assertRun checks that a plan runs the statement on a member.
func assertRun(t *testing.T, plan ctdialog.Plan, effect ctdialog.Effect, primary, pinned bool) ctdialog.Run {
	t.Helper()
	run, ok := plan.(ctdialog.Run)
	assert.Assert(t, ok, "%T", plan)
	assert.Equal(t, run.Effect, effect)
	assert.Equal(t, run.Primary, primary)
	assert.Equal(t, run.Pinned, pinned)
	return run
}

func assertReply(t *testing.T, reply ctdialog.Reply, fault ctquery.Fault, state ctquery.Transaction) {
	t.Helper()
	assert.Equal(t, reply.Answer.Fault, fault)
	assert.Equal(t, reply.Answer.Transaction, state)
}

func replied(fault ctquery.Fault) ctdialog.Replied {
	return ctdialog.Replied{
		Answer:     ctquery.Answer{Fault: fault, Proof: "p", Point: ctposition.Point{Term: 3, Position: 7}},
		Authorized: true,
	}
}

func TestSingleStatements(t *testing.T) {
	t.Run("a read may run on any member", func(t *testing.T) {
		var d ctdialog.Dialog
		run := assertRun(t, handle(&d, ctquery.Read{Item: "1a4"}), ctdialog.EffectNone, false, false)
		assertReply(t, d.HandleResult(run, replied(ctquery.FaultNone)), ctquery.FaultNone, ctquery.TransactionNone)
		assert.Assert(t, d.Written.IsZero())
	})
	t.Run("a write runs on the primary and advances the session's point", func(t *testing.T) {
		var d ctdialog.Dialog
		run := assertRun(t, handle(&d, ctquery.Write{Arguments: "1a4 x"}), ctdialog.EffectDurable, true, false)
		assertReply(t, d.HandleResult(run, replied(ctquery.FaultNone)), ctquery.FaultNone, ctquery.TransactionNone)
		assert.Equal(t, d.Written, ctposition.Point{Term: 3, Position: 7})
	})
	t.Run("a write is not acknowledged if the primary was replaced meanwhile", func(t *testing.T) {
		var d ctdialog.Dialog
		run := assertRun(t, handle(&d, ctquery.Write{Arguments: "1a4 x"}), ctdialog.EffectDurable, true, false)
		result := replied(ctquery.FaultNone)
		result.Authorized = false
		assertReply(t, d.HandleResult(run, result), ctquery.FaultOutcomeUnknown, ctquery.TransactionNone)
		assert.Assert(t, d.Written.IsZero())
	})
	t.Run("parameters and prepared statements need no member", func(t *testing.T) {
		var d ctdialog.Dialog
		assertAnswered(t, handle(&d, ctquery.Set{Name: "a", Value: "1"}), ctquery.FaultNone, ctquery.TransactionNone)
		prepare := ctquery.Prepare{Name: "s1", Shape: ctquery.Shape{Writes: true, Text: "q2c"}}
		assertAnswered(t, handle(&d, prepare), ctquery.FaultNone, ctquery.TransactionNone)
		run := assertRun(t, handle(&d, ctquery.Execute{Name: "s1", Arguments: "1a4 x"}), ctdialog.EffectDurable, true, false)
		executed := ctquery.Execute{Name: "dcba3b9c8e0cf973a64241fc81595ae4", Arguments: "1a4 x"}
		assert.DeepEqual(t, run.Query.Statement, ctquery.Statement(executed))
		assertAnswered(t, handle(&d, ctquery.Deallocate{Name: "s1"}), ctquery.FaultNone, ctquery.TransactionNone)
		assertAnswered(t, handle(&d, ctquery.Execute{Name: "s1", Arguments: "1a4 x"}), ctquery.FaultNoStatement,
			ctquery.TransactionNone)
	})
	t.Run("statements that callers may not send are refused", func(t *testing.T) {
		var d ctdialog.Dialog
		assertAnswered(t, handle(&d, nil), ctquery.FaultMalformed, ctquery.TransactionNone)
		assertAnswered(t, handle(&d, ctquery.ReadStatus{}), ctquery.FaultMalformed, ctquery.TransactionNone)
	})
}

// openTransaction returns a dialog whose transaction is open on a member.
func openTransaction(t *testing.T, begin ctquery.Begin, first ctquery.Statement) *ctdialog.Dialog {
	t.Helper()
	d := &ctdialog.Dialog{}
	assertAnswered(t, handle(d, begin), ctquery.FaultNone, ctquery.TransactionOpen)
	run := assertRun(t, handle(d, first), ctdialog.EffectTransaction, !begin.ReadOnly, false)
	assert.Assert(t, run.Begin.Statement != nil)
	reply := d.HandleResult(run, replied(ctquery.FaultNone))
	assertReply(t, reply, ctquery.FaultNone, ctquery.TransactionOpen)
	assert.Assert(t, reply.RetainConnection)
	return d
}

func TestTransactions(t *testing.T) {
	write := ctquery.Write{Arguments: "1a4 x"}
	read := ctquery.Read{Item: "1a4"}
	t.Run("later statements run on the connection of the first", func(t *testing.T) {
		d := openTransaction(t, ctquery.Begin{}, write)
		run := assertRun(t, handle(d, read), ctdialog.EffectTransaction, false, true)
		assertReply(t, d.HandleResult(run, replied(ctquery.FaultNone)), ctquery.FaultNone, ctquery.TransactionOpen)
		run = assertRun(t, handle(d, ctquery.Commit{}), ctdialog.EffectDurable, false, true)
		assertReply(t, d.HandleResult(run, replied(ctquery.FaultNone)), ctquery.FaultNone, ctquery.TransactionNone)
	})
	t.Run("a rollback releases the connection", func(t *testing.T) {
		d := openTransaction(t, ctquery.Begin{}, write)
		plan, ok := handle(d, ctquery.Rollback{}).(ctdialog.Answer)
		assert.Assert(t, ok && plan.Rollback)
		assert.Assert(t, !d.InTransaction())
	})
	t.Run("a rollback before the first statement needs no member", func(t *testing.T) {
		var d ctdialog.Dialog
		handle(&d, ctquery.Begin{})
		plan, ok := handle(&d, ctquery.Rollback{}).(ctdialog.Answer)
		assert.Assert(t, ok && !plan.Rollback)
	})
	t.Run("a failed transaction accepts only its end", func(t *testing.T) {
		d := openTransaction(t, ctquery.Begin{}, write)
		run := assertRun(t, handle(d, write), ctdialog.EffectTransaction, false, true)
		reply := d.HandleResult(run, replied(ctquery.FaultFailed))
		assertReply(t, reply, ctquery.FaultFailed, ctquery.TransactionFailed)
		assert.Assert(t, reply.Rollback)
		assertAnswered(t, handle(d, read), ctquery.FaultMalformed, ctquery.TransactionFailed)
		assertAnswered(t, handle(d, ctquery.Commit{}), ctquery.FaultAborted, ctquery.TransactionNone)
		assertRun(t, handle(d, read), ctdialog.EffectNone, false, false)
	})
	t.Run("the caller receives the error of an idle transaction once", func(t *testing.T) {
		d := openTransaction(t, ctquery.Begin{}, write)
		assert.Assert(t, d.FailTransaction(ctdialog.FailureIdle))
		assertAnswered(t, handle(d, write), ctquery.FaultAborted, ctquery.TransactionFailed)
		assertAnswered(t, handle(d, write), ctquery.FaultMalformed, ctquery.TransactionFailed)
		assertAnswered(t, handle(d, ctquery.Rollback{}), ctquery.FaultNone, ctquery.TransactionNone)
	})
}

// TestOutcomes checks the fault and the transaction state that the caller
// receives for each way in which a statement can fail.
func TestOutcomes(t *testing.T) {
	write := ctquery.Write{Arguments: "1a4 x"}
	read := ctquery.Read{Item: "1a4"}
	single := func(statement ctquery.Statement) func(*testing.T) (*ctdialog.Dialog, ctquery.Statement) {
		return func(*testing.T) (*ctdialog.Dialog, ctquery.Statement) { return &ctdialog.Dialog{}, statement }
	}
	type start = func(*testing.T) (*ctdialog.Dialog, ctquery.Statement)
	inTransaction := func(begin ctquery.Begin, first, next ctquery.Statement) start {
		return func(t *testing.T) (*ctdialog.Dialog, ctquery.Statement) {
			return openTransaction(t, begin, first), next
		}
	}
	for _, c := range []struct {
		name   string
		start  func(*testing.T) (*ctdialog.Dialog, ctquery.Statement)
		result ctdialog.Result
		fault  ctquery.Fault
		state  ctquery.Transaction
	}{
		{"read without answer", single(read), ctdialog.Unanswered{}, ctquery.FaultAborted, ctquery.TransactionNone},
		{"read refused by all members", single(read), ctdialog.Refused{Fault: ctquery.FaultBusy},
			ctquery.FaultBusy, ctquery.TransactionNone},
		{"read that only stale members could run", single(read), ctdialog.Refused{Fault: ctquery.FaultBehind},
			ctquery.FaultBehind, ctquery.TransactionNone},
		{"write without answer", single(write), ctdialog.Unanswered{}, ctquery.FaultOutcomeUnknown, ctquery.TransactionNone},
		{"write without answer in time", single(write), ctdialog.Unanswered{TimedOut: true},
			ctquery.FaultOutcomeUnknown, ctquery.TransactionNone},
		{"write refused by the member", single(write), replied(ctquery.FaultReadOnly),
			ctquery.FaultReadOnly, ctquery.TransactionNone},
		{"write that ran and failed", single(write), replied(ctquery.FaultFailed),
			ctquery.FaultFailed, ctquery.TransactionNone},
		{"statement of a transaction without answer", inTransaction(ctquery.Begin{}, write, write), ctdialog.Unanswered{},
			ctquery.FaultAborted, ctquery.TransactionFailed},
		{"statement of a transaction refused", inTransaction(ctquery.Begin{}, write, write), replied(ctquery.FaultBusy),
			ctquery.FaultBusy, ctquery.TransactionFailed},
		{"statement of a transaction that can't be committed", inTransaction(ctquery.Begin{}, write, write),
			ctdialog.Refused{Fault: ctquery.FaultAborted}, ctquery.FaultAborted, ctquery.TransactionFailed},
		{"commit that was not sent", inTransaction(ctquery.Begin{}, write, ctquery.Commit{}),
			ctdialog.Refused{Fault: ctquery.FaultAborted}, ctquery.FaultAborted, ctquery.TransactionNone},
		{"commit of writes without answer", inTransaction(ctquery.Begin{}, write, ctquery.Commit{}), ctdialog.Unanswered{},
			ctquery.FaultOutcomeUnknown, ctquery.TransactionNone},
		{"commit of reads without answer", inTransaction(ctquery.Begin{}, read, ctquery.Commit{}), ctdialog.Unanswered{},
			ctquery.FaultAborted, ctquery.TransactionNone},
		{"commit refused", inTransaction(ctquery.Begin{}, write, ctquery.Commit{}), replied(ctquery.FaultReadOnly),
			ctquery.FaultAborted, ctquery.TransactionNone},
		{"commit that ran and failed", inTransaction(ctquery.Begin{}, write, ctquery.Commit{}), replied(ctquery.FaultFailed),
			ctquery.FaultFailed, ctquery.TransactionNone},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, statement := c.start(t)
			run, ok := handle(d, statement).(ctdialog.Run)
			assert.Assert(t, ok)
			assertReply(t, d.HandleResult(run, c.result), c.fault, c.state)
		})
	}
}

// statementsOf returns the statements of queries.
func statementsOf(queries []ctquery.Query) []ctquery.Statement {
	var statements []ctquery.Statement
	for _, q := range queries {
		statements = append(statements, q.Statement)
	}
	return statements
}

func TestConnectionState(t *testing.T) {
	session := func(statements ...ctquery.Statement) *ctdialog.State {
		d := &ctdialog.Dialog{}
		for _, s := range statements {
			handle(d, s)
		}
		return d.State()
	}
	a1, a2 := ctquery.Set{Name: "a", Value: "1"}, ctquery.Set{Name: "a", Value: "2"}
	b1 := ctquery.Set{Name: "b", Value: "1"}
	t.Run("a new connection gets the session's parameters once", func(t *testing.T) {
		var conn ctdialog.ConnectionState
		state := session(a1, b1)
		assert.DeepEqual(t, statementsOf(conn.Update(state, ctquery.Read{})), []ctquery.Statement{a1, b1})
		assert.Equal(t, len(conn.Update(state, ctquery.Read{})), 0)
	})
	t.Run("a parameter that changed is set again", func(t *testing.T) {
		var conn ctdialog.ConnectionState
		conn.Update(session(a1, b1), ctquery.Read{})
		assert.DeepEqual(t, statementsOf(conn.Update(session(a2, b1), ctquery.Read{})), []ctquery.Statement{a2})
	})
	t.Run("another session's parameters are reset", func(t *testing.T) {
		var conn ctdialog.ConnectionState
		conn.Update(session(a1), ctquery.Read{})
		assert.DeepEqual(t, statementsOf(conn.Update(session(b1), ctquery.Read{})), []ctquery.Statement{ctquery.Reset{}, b1})
		assert.DeepEqual(t, statementsOf(conn.Update(session(), ctquery.Read{})), []ctquery.Statement{ctquery.Reset{}})
	})
	t.Run("a shape is prepared once for all sessions that use it", func(t *testing.T) {
		var conn ctdialog.ConnectionState
		shape := ctquery.Shape{Text: "q2c"}
		execute := ctquery.Execute{Name: shape.SharedName(), Arguments: "1"}
		first := session(ctquery.Prepare{Name: "s1", Shape: shape})
		second := session(ctquery.Prepare{Name: "other", Shape: shape})
		want := ctquery.Prepare{Name: "0eb22aa558576f6e793b57490d5d8474", Shape: shape}
		assert.DeepEqual(t, statementsOf(conn.Update(first, execute)), []ctquery.Statement{want})
		assert.Equal(t, len(conn.Update(second, execute)), 0)
	})
	t.Run("a reset removes prepared statements", func(t *testing.T) {
		var conn ctdialog.ConnectionState
		shape := ctquery.Shape{Text: "q2c"}
		execute := ctquery.Execute{Name: shape.SharedName(), Arguments: "1"}
		prepare := ctquery.Prepare{Name: "s1", Shape: shape}
		conn.Update(session(prepare, a1), execute)
		got := statementsOf(conn.Update(session(prepare), execute))
		want := ctquery.Prepare{Name: "0eb22aa558576f6e793b57490d5d8474", Shape: shape}
		assert.DeepEqual(t, got, []ctquery.Statement{ctquery.Reset{}, want})
	})
}
