package ctreply_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctreply"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

const (
	none   = ctquery.TransactionNone
	open   = ctquery.TransactionOpen
	failed = ctquery.TransactionFailed
)

// step is a statement with the answer that it is taken to have.
type step struct {
	statement ctquery.Statement
	answer    ctquery.Answer
}

func proven(proof string, state ctquery.Transaction) ctquery.Answer {
	return ctquery.Answer{Proof: proof, Transaction: state}
}

func bare(state ctquery.Transaction, rows ...string) ctquery.Answer {
	return ctquery.Answer{Transaction: state, Rows: rows}
}

func fault(text string, state ctquery.Transaction) ctquery.Answer {
	return ctquery.Answer{Fault: ctquery.FaultBusy, Text: text, Transaction: state}
}

func at(answer ctquery.Answer, term ctposition.Term, position ctposition.Position) ctquery.Answer {
	answer.Point = ctposition.Point{Term: term, Position: position}
	return answer
}

// assertVerdict asserts the verdict on the last of the steps on a new connection.
func assertVerdict(t *testing.T, want ctreply.Verdict, steps ...step) {
	t.Helper()
	var conversation ctreply.Conversation
	for i, s := range steps {
		verdict := conversation.Judge(s.statement, s.answer)
		if i == len(steps)-1 {
			assert.Equal(t, verdict, want)
		}
	}
}

func inDoubt(doubt ctreply.Doubt) ctreply.InDoubt {
	return ctreply.InDoubt{Doubt: doubt}
}

// Guards against an answer of another kind, or from another state, that is accepted.
func TestAnswerOfAnotherQueryIsInDoubt(t *testing.T) {
	read, write, begin := ctquery.Read{}, ctquery.Write{}, ctquery.Begin{}
	begun := step{begin, bare(open)}
	cases := []struct {
		name  string
		want  ctreply.Verdict
		steps []step
	}{
		{"read without a proof", inDoubt(ctreply.DoubtProofMissing), []step{{read, bare(none, "row")}}},
		{"commit without a proof", inDoubt(ctreply.DoubtProofMissing), []step{begun, {ctquery.Commit{}, bare(none)}}},
		{"begin with a proof", inDoubt(ctreply.DoubtProofUnexpected), []step{{begin, proven("a", open)}}},
		{
			"write with the proof of a read", ctreply.InDoubt{Doubt: ctreply.DoubtProofRepeated, ProofSeen: true},
			[]step{{read, proven("a", none)}, {write, proven("a", none)}},
		},
		{"status without a row", inDoubt(ctreply.DoubtRows), []step{{ctquery.ReadStatus{}, bare(none)}}},
		{"rollback with a row", inDoubt(ctreply.DoubtRows), []step{begun, {ctquery.Rollback{}, bare(none, "row")}}},
		{"read in a transaction that is none", inDoubt(ctreply.DoubtTransaction), []step{{read, proven("a", open)}}},
		{"fault that ended a transaction", inDoubt(ctreply.DoubtTransaction), []step{begun, {write, fault("x", none)}}},
		{
			"point before an earlier one", inDoubt(ctreply.DoubtPoint),
			[]step{{write, at(proven("a", none), 2, 8)}, {write, at(proven("b", none), 2, 7)}},
		},
		{
			"point of a later term", ctreply.Fits{},
			[]step{{write, at(proven("a", none), 2, 8)}, {write, at(proven("b", none), 3, 7)}},
		},
		{"failed transaction", ctreply.Fits{}, []step{begun, {write, fault("x", failed)}}},
		{"first fault of its text", ctreply.Fits{}, []step{{write, fault("x", none)}, {write, fault("y", none)}}},
		{"fault that was received", ctreply.Unconfirmed{}, []step{{write, fault("x", none)}, {write, fault("x", none)}}},
		{
			"rollback like an earlier one", ctreply.Unconfirmed{},
			[]step{begun, {ctquery.Rollback{}, bare(none)}, {begin, bare(open)}, {ctquery.Rollback{}, bare(none)}},
		},
		{
			"new fault after a set that may be a repeat", ctreply.Unconfirmed{},
			[]step{{ctquery.Set{}, bare(none)}, {ctquery.Set{}, bare(none)}, {write, fault("x", none)}},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assertVerdict(t, c.want, c.steps...) })
	}
}

// Guards against faults that are forgotten and then taken for new ones.
func TestFaultsAreNotForgotten(t *testing.T) {
	var conversation ctreply.Conversation
	for i := range 100 {
		conversation.Judge(ctquery.Read{}, fault(fmt.Sprint(i), none))
	}
	assert.Equal(t, conversation.Judge(ctquery.Read{}, fault("0", none)), ctreply.Unconfirmed{})
}

// Guards against a repeated confirmation that is taken for the next one.
func TestConfirmationsDiffer(t *testing.T) {
	var conversation ctreply.Conversation
	seen := make(map[string]bool)
	for range 8 {
		var kinds string
		for _, statement := range conversation.Confirmation() {
			kinds += fmt.Sprintf("%T", statement)
		}
		assert.Assert(t, !seen[kinds])
		seen[kinds] = true
	}
}

// Guards against a confirmation that a transaction which is still open would refuse.
func TestConfirmationFitsTheState(t *testing.T) {
	assertFirst := func(t *testing.T, want ctquery.Statement, steps ...step) {
		t.Helper()
		var conversation ctreply.Conversation
		for _, s := range steps {
			conversation.Judge(s.statement, s.answer)
		}
		assert.Equal(t, fmt.Sprintf("%T", conversation.Confirmation()[0]), fmt.Sprintf("%T", want))
	}
	begun := step{ctquery.Begin{}, bare(open)}
	t.Run("no transaction", func(t *testing.T) {
		assertFirst(t, ctquery.Prepare{}, step{ctquery.Read{}, fault("x", none)})
	})
	t.Run("open", func(t *testing.T) {
		assertFirst(t, ctquery.Prepare{}, begun, step{ctquery.Read{}, fault("x", open)})
	})
	t.Run("failed", func(t *testing.T) {
		assertFirst(t, ctquery.Rollback{}, begun, step{ctquery.Read{}, fault("x", failed)})
	})
	t.Run("commit that a repeat says has failed", func(t *testing.T) {
		assertFirst(t, ctquery.Prepare{}, begun, step{ctquery.Commit{}, fault("x", none)})
	})
}
