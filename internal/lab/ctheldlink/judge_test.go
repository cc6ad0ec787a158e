package ctheldlink

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctholderjudge"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/platform/ctpeer"
)

// newTestJudge returns a judge of processes of which none or all are disturbed.
func newTestJudge(disturbed bool) *Judge {
	return newJudge(zerolog.Nop(), func(Host, time.Time) bool { return disturbed }, 1)
}

// assertViolations checks which rules were broken, in order.
func assertViolations(t *testing.T, j *Judge, want ...Rule) {
	t.Helper()
	var got []Rule
	for _, v := range j.Violations() {
		got = append(got, v.Rule)
	}
	assert.DeepEqual(t, got, want)
}

// ask records a statement of a session, in a transaction unless that is nil.
func ask(j *Judge, id ctquery.ID, statement ctpeer.Statement, s *callerSession, t *transaction) {
	j.recordAsked(id, asked{statement: statement, session: s, transaction: t})
}

// commitAt records an acknowledged write that a member has committed at a position of a term.
func commitAt(j *Judge, id ctquery.ID, s *callerSession, position ctposition.Position, latest ctposition.Term) {
	statement := ctpeer.Write{Arguments: "1a4 data"}
	ask(j, id, statement, s, nil)
	j.recordRun(run{query: queryOf(id, statement), member: "m-0", conn: &session{}})
	point := ctposition.Point{Term: firstTerm, Position: position}
	j.recordCommit(id, commit{member: "m-0", point: point, at: time.Now(), latest: latest})
	var answer ctpeer.Answer
	j.recordResult("m-0", id, &answer, false)
	j.recordAnswer(id, answer, true)
}

// queryOf returns a query as a member receives it.
func queryOf(id ctquery.ID, statement ctpeer.Statement) ctpeer.Query {
	return ctpeer.Query{ID: id, Statement: statement, Text: ctpeer.FormatStatement(statement)}
}

// logOf returns a log of commits of one write each.
func logOf(ids ...ctquery.ID) []entry {
	var log []entry
	for _, id := range ids {
		log = append(log, entry{term: firstTerm, id: id, writes: []ctquery.ID{id}})
	}
	return log
}

// assertRequests checks which rules two requests break. The second one follows after a pause.
func assertRequests(
	t *testing.T, first, second ctholderjudge.Request, pause time.Duration, disturbed bool, want ...Rule,
) {
	t.Helper()
	j := newTestJudge(disturbed)
	first.At = time.Now()
	second.At = first.At.Add(pause)
	j.recordRequest(first)
	j.recordRequest(second)
	assertViolations(t, j, want...)
}

// TestJudgeOfRequests checks the three parts of rule ONE at the service.
func TestJudgeOfRequests(t *testing.T) {
	of := func(group ctid.Group, holder string, epoch ctquorum.Epoch) ctholderjudge.Request {
		return ctholderjudge.Request{Group: group, Member: "m-0", Holder: holder, Epoch: epoch}
	}
	t.Run("two holders have one epoch", func(t *testing.T) {
		assertRequests(t, of("a", "control-0", 2), of("b", "control-1", 2), time.Minute, true, RuleSharedEpoch)
	})
	t.Run("a holder keeps its epoch", func(t *testing.T) {
		assertRequests(t, of("a", "control-0", 2), of("a", "control-0", 2), 0, false)
	})
	t.Run("an epoch falls", func(t *testing.T) {
		assertRequests(t, of("a", "control-0", 3), of("a", "control-1", 2), time.Minute, true, RuleEpochOrder)
	})
	t.Run("an epoch of the same holder falls", func(t *testing.T) {
		assertRequests(t, of("a", "control-0", 3), of("a", "control-0", 2), time.Minute, true, RuleEpochOrder)
	})
	t.Run("an epoch of another group is higher", func(t *testing.T) {
		assertRequests(t, of("a", "control-0", 3), of("b", "control-1", 2), 0, false)
	})
	t.Run("holders take turns within a lease", func(t *testing.T) {
		assertRequests(t, of("a", "control-0", 2), of("a", "control-1", 3), ctholderjudge.Lease-1, false, RuleTurns)
	})
	t.Run("a disturbed holder takes turns", func(t *testing.T) {
		assertRequests(t, of("a", "control-0", 2), of("a", "control-1", 3), ctholderjudge.Lease-1, true)
	})
	t.Run("holders take turns after a lease", func(t *testing.T) {
		assertRequests(t, of("a", "control-0", 2), of("a", "control-1", 3), ctholderjudge.Lease, false)
	})
}

// assertRun checks which rules a run of a single read breaks.
func assertRun(t *testing.T, id ctquery.ID, statement ctpeer.Statement, conn *session, want ...Rule) {
	t.Helper()
	j := newTestJudge(false)
	ask(j, "r", ctpeer.Read{Item: "1a4"}, &callerSession{}, nil)
	j.recordRun(run{query: queryOf(id, statement), member: "m-0", conn: conn})
	assertViolations(t, j, want...)
}

// assertTransaction checks which rules a transaction breaks whose statements run on connections
// by their numbers. "b" is its beginning.
func assertTransaction(t *testing.T, ids []ctquery.ID, conns []int, want ...Rule) {
	t.Helper()
	j, owner, own := newTestJudge(false), &callerSession{}, &transaction{}
	sessions := make(map[int]*session)
	for i, id := range ids {
		var statement ctpeer.Statement = ctpeer.Read{Item: "1a4"}
		if id == "b" {
			statement = ctpeer.Begin{}
		}
		conn, ok := sessions[conns[i]]
		if !ok {
			conn = &session{}
			sessions[conns[i]] = conn
		}
		ask(j, id, statement, owner, own)
		j.recordRun(run{query: queryOf(id, statement), conn: conn})
		conn.open = conn.open || id == "b"
	}
	assertViolations(t, j, want...)
}

// TestJudgeOfRuns checks what members may run.
func TestJudgeOfRuns(t *testing.T) {
	read := ctpeer.Read{Item: "1a4"}
	t.Run("asked", func(t *testing.T) { assertRun(t, "r", read, &session{}) })
	t.Run("changed", func(t *testing.T) { assertRun(t, "r", ctpeer.Read{Item: "1a5"}, &session{}, RuleUnasked) })
	t.Run("without its CR", func(t *testing.T) { assertRun(t, "r", ctpeer.Read{Item: "1a4\r"}, &session{}, RuleUnasked) })
	t.Run("with a line feed", func(t *testing.T) {
		assertRun(t, "r", ctpeer.Read{Item: "1a4\nx"}, &session{}, RuleUnasked, RuleUnasked)
	})
	t.Run("no statement", func(t *testing.T) { assertRun(t, ctpeer.OwnID, nil, &session{}, RuleUnasked) })
	t.Run("unknown", func(t *testing.T) { assertRun(t, "s", read, &session{}, RuleUnasked) })
	t.Run("read of a proxy", func(t *testing.T) { assertRun(t, ctpeer.OwnID, read, &session{}, RuleUnasked) })
	t.Run("commit of a proxy", func(t *testing.T) {
		assertRun(t, ctpeer.OwnID, ctpeer.Commit{}, &session{writes: []ctquery.ID{"w"}}, RuleUnasked)
	})
	t.Run("inside another transaction", func(t *testing.T) { assertRun(t, "r", read, &session{open: true}, RulePinned) })
	type ids []ctquery.ID
	t.Run("transaction on one connection", func(t *testing.T) {
		assertTransaction(t, ids{"b", "r", "s"}, []int{0, 0, 0})
	})
	t.Run("transaction on two connections", func(t *testing.T) {
		assertTransaction(t, ids{"b", "r", "s"}, []int{0, 0, 1}, RulePinned)
	})
	t.Run("begun on two connections", func(t *testing.T) {
		assertTransaction(t, ids{"b", "b", "r", "s"}, []int{0, 1, 1, 1})
	})
	t.Run("begun on two connections, and in use on both", func(t *testing.T) {
		assertTransaction(t, ids{"b", "b", "r", "s"}, []int{0, 1, 0, 1}, RulePinned)
	})
	t.Run("first statement late on a connection that was given up", func(t *testing.T) {
		assertTransaction(t, ids{"b", "b", "r", "r", "s", "t"}, []int{0, 1, 1, 0, 1, 1})
	})
	t.Run("later statements on two connections", func(t *testing.T) {
		assertTransaction(t, ids{"b", "b", "r", "r", "s", "t"}, []int{0, 1, 1, 0, 1, 0}, RulePinned)
	})
	t.Run("outside its transaction", func(t *testing.T) {
		assertTransaction(t, ids{"b", "r"}, []int{0, 1}, RulePinned)
	})
}

// assertFreshness checks which rules a read breaks that lacks a commit, acknowledged some
// time before.
func assertFreshness(t *testing.T, freshness ctconfig.Freshness, own bool, age time.Duration, want ...Rule) {
	t.Helper()
	j, writer, reader := newTestJudge(false), &callerSession{}, &callerSession{freshness: freshness}
	if own {
		writer = reader
	}
	commitAt(j, "w", writer, 1, firstTerm)
	j.acknowledgments[0].at = time.Now().Add(-age)
	ask(j, "r", ctpeer.Read{Item: "1a4"}, reader, nil)
	r := run{query: queryOf("r", ctpeer.Read{Item: "1a4"}), member: "m-1", conn: &session{}}
	r.log = logOf("w")
	j.recordRun(r)
	assertViolations(t, j)
	r.log = logOf("v")
	j.recordRun(r)
	assertViolations(t, j, want...)
}

// TestJudgeOfReads checks rule STALE on the three kinds of routes.
func TestJudgeOfReads(t *testing.T) {
	const recent = maxStaleness / 2
	t.Run("primary", func(t *testing.T) { assertFreshness(t, ctconfig.FreshnessPrimary, false, recent, RuleStale) })
	t.Run("session, own commit", func(t *testing.T) {
		assertFreshness(t, ctconfig.FreshnessSession, true, recent, RuleStale)
	})
	t.Run("session, another's commit", func(t *testing.T) {
		assertFreshness(t, ctconfig.FreshnessSession, false, recent)
	})
	t.Run("session, another's old commit", func(t *testing.T) {
		assertFreshness(t, ctconfig.FreshnessSession, false, 2*maxStaleness, RuleStale)
	})
	t.Run("bounded", func(t *testing.T) { assertFreshness(t, ctconfig.FreshnessBounded, false, recent) })
	t.Run("bounded, old commit", func(t *testing.T) {
		assertFreshness(t, ctconfig.FreshnessBounded, false, 2*maxStaleness, RuleStale)
	})
}

// assertLog checks which rules the last log breaks after two acknowledged commits and a
// refused write.
func assertLog(t *testing.T, log []entry, want ...Rule) {
	t.Helper()
	j, s := newTestJudge(false), &callerSession{}
	commitAt(j, "v", s, 1, firstTerm)
	commitAt(j, "w", s, 2, firstTerm)
	ask(j, "x", ctpeer.Write{Arguments: "1a4 data"}, s, nil)
	j.recordAnswer("x", ctpeer.Answer{Fault: ctquery.FaultReadOnly}, true)
	j.checkLog(log)
	assertViolations(t, j, want...)
}

// TestJudgeOfLogs checks what the last log may hold.
func TestJudgeOfLogs(t *testing.T) {
	t.Run("acknowledged commits", func(t *testing.T) { assertLog(t, logOf("v", "w")) })
	t.Run("one lost", func(t *testing.T) { assertLog(t, logOf("v"), RuleLost) })
	t.Run("one twice", func(t *testing.T) { assertLog(t, logOf("v", "w", "v"), RuleTwice) })
	t.Run("a refused one", func(t *testing.T) { assertLog(t, logOf("v", "w", "x"), RulePromise) })
	t.Run("a refused one in a transaction", func(t *testing.T) {
		log := append(logOf("v", "w"), entry{id: "c", writes: []ctquery.ID{"x"}})
		assertLog(t, log, RulePromise)
	})
}

// assertAnswer checks which rules the answer to a read breaks that m-0 has run. change changes
// the answer, and other is one to another read.
func assertAnswer(t *testing.T, change func(answer *ctpeer.Answer, other ctpeer.Answer), want ...Rule) {
	t.Helper()
	j, read := newTestJudge(false), ctpeer.Read{Item: "1a4"}
	var answer, other ctpeer.Answer
	for id, a := range map[ctquery.ID]*ctpeer.Answer{"r": &answer, "s": &other} {
		ask(j, id, read, &callerSession{}, nil)
		j.recordRun(run{query: queryOf(id, read), member: "m-0", conn: &session{}})
		j.recordResult("m-0", id, a, true)
	}
	change(&answer, other)
	j.recordAnswer("r", answer, false)
	assertViolations(t, j, want...)
}

// assertState checks which rules a prepared statement breaks that runs in a shape, with a value.
func assertState(t *testing.T, shape ctpeer.Shape, value string, want ...Rule) {
	t.Helper()
	j := newTestJudge(false)
	s := &callerSession{values: make(map[string]string), prepared: make(map[string]ctpeer.Shape)}
	for id, statement := range map[ctquery.ID]ctpeer.Statement{
		"s": ctpeer.Set{Name: "n", Value: "v"}, "p": ctpeer.Prepare{Name: "s1", Shape: ctpeer.Shape{Text: "q\r"}},
	} {
		ask(j, id, statement, s, nil)
		j.recordAnswer(id, ctpeer.Answer{}, false)
	}
	ask(j, "e", ctpeer.Execute{Name: "s1", Arguments: "1a4"}, s, nil)
	j.recordRun(run{
		query: queryOf("e", ctpeer.Execute{Name: "other", Arguments: "1a4"}), shape: shape, member: "m-0",
		conn: &session{values: map[string]string{"n": value}},
	})
	assertViolations(t, j, want...)
}

// TestJudgeOfState checks the shapes and the session values of rule PINNED.
func TestJudgeOfState(t *testing.T) {
	own := ctpeer.Shape{Text: "q\r"}
	t.Run("own shape and value", func(t *testing.T) { assertState(t, own, "v") })
	t.Run("a shape without its CR", func(t *testing.T) { assertState(t, ctpeer.Shape{Text: "q"}, "v", RulePinned) })
	t.Run("a shape that writes", func(t *testing.T) {
		assertState(t, ctpeer.Shape{Writes: true, Text: "q\r"}, "v", RulePinned)
	})
	t.Run("another value", func(t *testing.T) { assertState(t, own, "w", RulePinned) })
	t.Run("an unknown name", func(t *testing.T) {
		j := newTestJudge(false)
		s := &callerSession{prepared: map[string]ctpeer.Shape{"s1": own}}
		ask(j, "e", ctpeer.Execute{Name: "s1", Arguments: "1a4"}, s, nil)
		j.recordAnswer("e", ctpeer.Answer{Fault: ctquery.FaultNoStatement}, false)
		assertViolations(t, j, RulePinned)
	})
}

// TestJudgeOfAnswers checks rule MIXED, and commits at replaced primaries.
func TestJudgeOfAnswers(t *testing.T) {
	t.Run("proven", func(t *testing.T) { assertAnswer(t, func(*ctpeer.Answer, ctpeer.Answer) {}) })
	t.Run("without a proof", func(t *testing.T) {
		assertAnswer(t, func(a *ctpeer.Answer, _ ctpeer.Answer) { a.Proof = "" }, RuleMixed)
	})
	t.Run("with the answer to another read", func(t *testing.T) {
		assertAnswer(t, func(a *ctpeer.Answer, other ctpeer.Answer) { *a = other }, RuleMixed)
	})
	t.Run("with other rows", func(t *testing.T) {
		assertAnswer(t, func(a *ctpeer.Answer, other ctpeer.Answer) { a.Rows = other.Rows }, RuleMixed)
	})
	t.Run("committed at a replaced primary", func(t *testing.T) {
		j := newTestJudge(false)
		commitAt(j, "w", &callerSession{}, 1, firstTerm+1)
		assertViolations(t, j, RuleOnePrimary)
	})
	t.Run("missing at a promotion", func(t *testing.T) {
		j := newTestJudge(false)
		commitAt(j, "w", &callerSession{}, 1, firstTerm)
		j.recordPromotion(promotion{member: "m-1", calledAt: time.Now()}, nil, nil)
		assertViolations(t, j, RuleLost)
	})
}
