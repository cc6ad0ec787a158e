package ctdialog_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

func ask(d *ctdialog.Dialog, statement ctquery.Statement) ctdialog.Plan {
	return d.HandleQuery(ctquery.Query{ID: "q", Statement: statement})
}

// assertAnswered checks that a statement was answered without a member.
func assertAnswered(t *testing.T, plan ctdialog.Plan, fault ctquery.Fault, state ctquery.Transaction) {
	t.Helper()
	answer, ok := plan.(ctdialog.Answer)
	assert.Assert(t, ok, "%T", plan)
	assert.Equal(t, answer.Answer.Fault, fault)
	assert.Equal(t, answer.Answer.Transaction, state)
}

// assertRun checks that a statement is to run on a member.
func assertRun(t *testing.T, plan ctdialog.Plan, effect ctdialog.Effect, primary, pinned bool) ctdialog.Run {
	t.Helper()
	run, ok := plan.(ctdialog.Run)
	assert.Assert(t, ok, "%T", plan)
	assert.Equal(t, run.Effect, effect)
	assert.Equal(t, run.Primary, primary)
	assert.Equal(t, run.Pinned, pinned)
	return run
}

func assertTold(t *testing.T, told ctdialog.Reply, fault ctquery.Fault, state ctquery.Transaction) {
	t.Helper()
	assert.Equal(t, told.Answer.Fault, fault)
	assert.Equal(t, told.Answer.Transaction, state)
}

func replied(fault ctquery.Fault) ctdialog.Replied {
	return ctdialog.Replied{
		Answer:     ctquery.Answer{Fault: fault, Proof: "p", Point: ctposition.Point{Term: 3, Position: 7}},
		Authorized: true,
	}
}

func TestSingleStatements(t *testing.T) {
	t.Run("a read may go anywhere", func(t *testing.T) {
		var d ctdialog.Dialog
		run := assertRun(t, ask(&d, ctquery.Read{Item: "1a4"}), ctdialog.EffectNone, false, false)
		assertTold(t, d.HandleResult(run, replied(ctquery.FaultNone)), ctquery.FaultNone, ctquery.TransactionNone)
		assert.Assert(t, d.Written.IsZero())
	})
	t.Run("a write goes to the primary and moves the session", func(t *testing.T) {
		var d ctdialog.Dialog
		run := assertRun(t, ask(&d, ctquery.Write{Arguments: "1a4 x"}), ctdialog.EffectDurable, true, false)
		assertTold(t, d.HandleResult(run, replied(ctquery.FaultNone)), ctquery.FaultNone, ctquery.TransactionNone)
		assert.Equal(t, d.Written, ctposition.Point{Term: 3, Position: 7})
	})
	t.Run("a write of a primary that was replaced meanwhile is not acknowledged", func(t *testing.T) {
		var d ctdialog.Dialog
		run := assertRun(t, ask(&d, ctquery.Write{Arguments: "1a4 x"}), ctdialog.EffectDurable, true, false)
		result := replied(ctquery.FaultNone)
		result.Authorized = false
		assertTold(t, d.HandleResult(run, result), ctquery.FaultOutcomeUnknown, ctquery.TransactionNone)
		assert.Assert(t, d.Written.IsZero())
	})
	t.Run("values and names are answered without a member", func(t *testing.T) {
		var d ctdialog.Dialog
		assertAnswered(t, ask(&d, ctquery.Set{Name: "a", Value: "1"}), ctquery.FaultNone, ctquery.TransactionNone)
		prepare := ctquery.Prepare{Name: "s1", Shape: ctquery.Shape{Writes: true, Text: "q2c"}}
		assertAnswered(t, ask(&d, prepare), ctquery.FaultNone, ctquery.TransactionNone)
		run := assertRun(t, ask(&d, ctquery.Execute{Name: "s1", Arguments: "1a4 x"}), ctdialog.EffectDurable, true, false)
		assert.DeepEqual(t, run.Query.Statement, ctquery.Statement(ctquery.Execute{Name: "w_q2c", Arguments: "1a4 x"}))
		assertAnswered(t, ask(&d, ctquery.Deallocate{Name: "s1"}), ctquery.FaultNone, ctquery.TransactionNone)
		assertAnswered(t, ask(&d, ctquery.Execute{Name: "s1", Arguments: "1a4 x"}), ctquery.FaultNoStatement,
			ctquery.TransactionNone)
	})
	t.Run("what can't be read is refused", func(t *testing.T) {
		var d ctdialog.Dialog
		assertAnswered(t, ask(&d, nil), ctquery.FaultMalformed, ctquery.TransactionNone)
		assertAnswered(t, ask(&d, ctquery.ReadStatus{}), ctquery.FaultMalformed, ctquery.TransactionNone)
	})
}

// open returns a dialog whose transaction a member has open.
func open(t *testing.T, begin ctquery.Begin, first ctquery.Statement) *ctdialog.Dialog {
	t.Helper()
	d := &ctdialog.Dialog{}
	assertAnswered(t, ask(d, begin), ctquery.FaultNone, ctquery.TransactionOpen)
	run := assertRun(t, ask(d, first), ctdialog.EffectTransaction, !begin.ReadOnly, false)
	assert.Assert(t, run.Begin.Statement != nil)
	told := d.HandleResult(run, replied(ctquery.FaultNone))
	assertTold(t, told, ctquery.FaultNone, ctquery.TransactionOpen)
	assert.Assert(t, told.RetainConnection)
	return d
}

func TestTransactions(t *testing.T) {
	write := ctquery.Write{Arguments: "1a4 x"}
	read := ctquery.Read{Item: "1a4"}
	t.Run("later statements stay on the connection of the first", func(t *testing.T) {
		d := open(t, ctquery.Begin{}, write)
		run := assertRun(t, ask(d, read), ctdialog.EffectTransaction, false, true)
		assertTold(t, d.HandleResult(run, replied(ctquery.FaultNone)), ctquery.FaultNone, ctquery.TransactionOpen)
		run = assertRun(t, ask(d, ctquery.Commit{}), ctdialog.EffectDurable, false, true)
		assertTold(t, d.HandleResult(run, replied(ctquery.FaultNone)), ctquery.FaultNone, ctquery.TransactionNone)
	})
	t.Run("a rollback gives the connection up", func(t *testing.T) {
		d := open(t, ctquery.Begin{}, write)
		plan, ok := ask(d, ctquery.Rollback{}).(ctdialog.Answer)
		assert.Assert(t, ok && plan.Rollback)
		assert.Assert(t, !d.InTransaction())
	})
	t.Run("a rollback before the first statement needs no member", func(t *testing.T) {
		var d ctdialog.Dialog
		ask(&d, ctquery.Begin{})
		plan, ok := ask(&d, ctquery.Rollback{}).(ctdialog.Answer)
		assert.Assert(t, ok && !plan.Rollback)
	})
	t.Run("a failed transaction takes only its end", func(t *testing.T) {
		d := open(t, ctquery.Begin{}, write)
		run := assertRun(t, ask(d, write), ctdialog.EffectTransaction, false, true)
		told := d.HandleResult(run, replied(ctquery.FaultFailed))
		assertTold(t, told, ctquery.FaultFailed, ctquery.TransactionFailed)
		assert.Assert(t, told.Rollback)
		assertAnswered(t, ask(d, read), ctquery.FaultMalformed, ctquery.TransactionFailed)
		assertAnswered(t, ask(d, ctquery.Commit{}), ctquery.FaultAborted, ctquery.TransactionNone)
		assertRun(t, ask(d, read), ctdialog.EffectNone, false, false)
	})
	t.Run("a transaction that idled too long is told so", func(t *testing.T) {
		d := open(t, ctquery.Begin{}, write)
		assert.Assert(t, d.FailTransaction())
		assertAnswered(t, ask(d, write), ctquery.FaultAborted, ctquery.TransactionFailed)
		assertAnswered(t, ask(d, write), ctquery.FaultMalformed, ctquery.TransactionFailed)
		assertAnswered(t, ask(d, ctquery.Rollback{}), ctquery.FaultNone, ctquery.TransactionNone)
	})
}

// TestOutcomes has a row for each way in which a statement can end without its
// answer, and what the caller may be told of it.
func TestOutcomes(t *testing.T) {
	write := ctquery.Write{Arguments: "1a4 x"}
	read := ctquery.Read{Item: "1a4"}
	single := func(statement ctquery.Statement) func(*testing.T) (*ctdialog.Dialog, ctquery.Statement) {
		return func(*testing.T) (*ctdialog.Dialog, ctquery.Statement) { return &ctdialog.Dialog{}, statement }
	}
	type start = func(*testing.T) (*ctdialog.Dialog, ctquery.Statement)
	inside := func(begin ctquery.Begin, first, next ctquery.Statement) start {
		return func(t *testing.T) (*ctdialog.Dialog, ctquery.Statement) { return open(t, begin, first), next }
	}
	for _, c := range []struct {
		name   string
		start  func(*testing.T) (*ctdialog.Dialog, ctquery.Statement)
		result ctdialog.Result
		fault  ctquery.Fault
		state  ctquery.Transaction
	}{
		{"read lost", single(read), ctdialog.Unanswered{}, ctquery.FaultAborted, ctquery.TransactionNone},
		{"read not offered", single(read), ctdialog.Refused{Fault: ctquery.FaultBusy},
			ctquery.FaultBusy, ctquery.TransactionNone},
		{"read that only stale members could run", single(read), ctdialog.Refused{Fault: ctquery.FaultBehind},
			ctquery.FaultBehind, ctquery.TransactionNone},
		{"write lost", single(write), ctdialog.Unanswered{}, ctquery.FaultOutcomeUnknown, ctquery.TransactionNone},
		{"write without answer in time", single(write), ctdialog.Unanswered{TimedOut: true},
			ctquery.FaultOutcomeUnknown, ctquery.TransactionNone},
		{"write refused by the member", single(write), replied(ctquery.FaultReadOnly),
			ctquery.FaultReadOnly, ctquery.TransactionNone},
		{"write that ran and failed", single(write), replied(ctquery.FaultFailed),
			ctquery.FaultFailed, ctquery.TransactionNone},
		{"statement of a transaction lost", inside(ctquery.Begin{}, write, write), ctdialog.Unanswered{},
			ctquery.FaultAborted, ctquery.TransactionFailed},
		{"statement of a transaction not taken", inside(ctquery.Begin{}, write, write), replied(ctquery.FaultBusy),
			ctquery.FaultBusy, ctquery.TransactionFailed},
		{"commit of writes lost", inside(ctquery.Begin{}, write, ctquery.Commit{}), ctdialog.Unanswered{},
			ctquery.FaultOutcomeUnknown, ctquery.TransactionNone},
		{"commit of reads lost", inside(ctquery.Begin{}, read, ctquery.Commit{}), ctdialog.Unanswered{},
			ctquery.FaultAborted, ctquery.TransactionNone},
		{"commit not taken", inside(ctquery.Begin{}, write, ctquery.Commit{}), replied(ctquery.FaultReadOnly),
			ctquery.FaultAborted, ctquery.TransactionNone},
		{"commit that ran and failed", inside(ctquery.Begin{}, write, ctquery.Commit{}), replied(ctquery.FaultFailed),
			ctquery.FaultFailed, ctquery.TransactionNone},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, statement := c.start(t)
			run, ok := ask(d, statement).(ctdialog.Run)
			assert.Assert(t, ok)
			assertTold(t, d.HandleResult(run, c.result), c.fault, c.state)
		})
	}
}

// texts returns the statements that queries carry.
func texts(queries []ctquery.Query) []ctquery.Statement {
	var statements []ctquery.Statement
	for _, q := range queries {
		statements = append(statements, q.Statement)
	}
	return statements
}

func TestLoaded(t *testing.T) {
	session := func(statements ...ctquery.Statement) *ctdialog.State {
		d := &ctdialog.Dialog{}
		for _, s := range statements {
			ask(d, s)
		}
		return d.State()
	}
	a1, a2 := ctquery.Set{Name: "a", Value: "1"}, ctquery.Set{Name: "a", Value: "2"}
	b1 := ctquery.Set{Name: "b", Value: "1"}
	t.Run("a new connection gets the session's values once", func(t *testing.T) {
		var l ctdialog.ConnectionState
		state := session(a1, b1)
		assert.DeepEqual(t, texts(l.Update(state, ctquery.Read{})), []ctquery.Statement{a1, b1})
		assert.Equal(t, len(l.Update(state, ctquery.Read{})), 0)
	})
	t.Run("a value that changed is set again", func(t *testing.T) {
		var l ctdialog.ConnectionState
		l.Update(session(a1, b1), ctquery.Read{})
		assert.DeepEqual(t, texts(l.Update(session(a2, b1), ctquery.Read{})), []ctquery.Statement{a2})
	})
	t.Run("another session's values are cleared", func(t *testing.T) {
		var l ctdialog.ConnectionState
		l.Update(session(a1), ctquery.Read{})
		assert.DeepEqual(t, texts(l.Update(session(b1), ctquery.Read{})), []ctquery.Statement{ctquery.Reset{}, b1})
		assert.DeepEqual(t, texts(l.Update(session(), ctquery.Read{})), []ctquery.Statement{ctquery.Reset{}})
	})
	t.Run("a shape is prepared once for all sessions that use it", func(t *testing.T) {
		var l ctdialog.ConnectionState
		shape := ctquery.Shape{Text: "q2c"}
		execute := ctquery.Execute{Name: ctdialog.SharedName(shape), Arguments: "1"}
		first := session(ctquery.Prepare{Name: "s1", Shape: shape})
		second := session(ctquery.Prepare{Name: "other", Shape: shape})
		want := ctquery.Prepare{Name: "r_q2c", Shape: shape}
		assert.DeepEqual(t, texts(l.Update(first, execute)), []ctquery.Statement{want})
		assert.Equal(t, len(l.Update(second, execute)), 0)
	})
	t.Run("a reset forgets what was prepared", func(t *testing.T) {
		var l ctdialog.ConnectionState
		shape := ctquery.Shape{Text: "q2c"}
		execute := ctquery.Execute{Name: ctdialog.SharedName(shape), Arguments: "1"}
		prepare := ctquery.Prepare{Name: "s1", Shape: shape}
		l.Update(session(prepare, a1), execute)
		got := texts(l.Update(session(prepare), execute))
		assert.DeepEqual(t, got, []ctquery.Statement{ctquery.Reset{}, ctquery.Prepare{Name: "r_q2c", Shape: shape}})
	})
}
