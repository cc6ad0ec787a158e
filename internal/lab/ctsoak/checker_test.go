package ctsoak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctholderjudge"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/platform/ctpeer"
)

const groupName = ctid.Group("g")

// fixture is a group with a checker but without connections. Its replicas receive the log
// only when a test calls replicate, and during writeAcknowledged.
type fixture struct {
	checker *Checker
	group   *Group
}

func newFixture() *fixture {
	checker := NewChecker(1)
	return &fixture{checker: checker, group: NewGroup(groupName, []ctid.Member{"m0", "m1", "m2"}, 2, checker)}
}

// queryOf returns a query as a member receives it.
func queryOf(id ctquery.ID, statement ctpeer.Statement) ctpeer.Query {
	return ctpeer.Query{ID: id, Statement: statement, Text: ctpeer.FormatStatement(statement)}
}

// session opens a session on the member with the given index, for a caller's session.
func (f *fixture) session(member int, owner string) *memberSession {
	s := newMemberSession(f.group, f.group.members[member])
	s.run(queryOf(ctpeer.OwnID, ctpeer.Set{Name: ownerVariable, Value: owner}))
	return s
}

// replicate delivers the log for long enough that replicas without faults apply it.
func (f *fixture) replicate() {
	for range 3 {
		f.group.deliverLogs(time.Now())
		time.Sleep(defaultApplyLag)
	}
}

// run records a statement as sent by a caller and runs it on a member's session.
func (f *fixture) run(s *memberSession, tx *Transaction, id ctquery.ID, statement ctpeer.Statement) ctpeer.Answer {
	return f.runRequired(s, tx, id, statement, ReadRequirement{})
}

// runRequired is run for a read that must show what is required.
func (f *fixture) runRequired(
	s *memberSession, tx *Transaction, id ctquery.ID, statement ctpeer.Statement, required ReadRequirement,
) ctpeer.Answer {
	f.checker.recordSent(id, statement, tx, ctpeer.Shape{}, required)
	answer, _ := s.run(queryOf(id, statement))
	return answer
}

// writeAcknowledged runs a write on member 0, with replication in the background, and
// records it as acknowledged. It returns the write's log entry.
func (f *fixture) writeAcknowledged(t *testing.T) entryID {
	const id = ctquery.ID("a")
	t.Helper()
	done := make(chan struct{})
	go func() {
		f.group.replicate(done)
	}()
	defer close(done)
	answer := f.run(f.session(0, "c"), &Transaction{group: groupName, session: "c"}, id, ctpeer.Write{Arguments: "i d"})
	assert.Assert(t, answer.OK(), "%s", answer.Fault)
	e, appended := f.checker.checkSuccess(id, answer)
	assert.Assert(t, appended)
	f.checker.recordAcknowledged(groupName, e)
	return e
}

// assertViolations checks which invariants were violated, in the order of detection.
func (f *fixture) assertViolations(t *testing.T, want ...Invariant) {
	t.Helper()
	var got []Invariant
	for _, v := range f.checker.Violations() {
		got = append(got, v.Invariant)
	}
	assert.DeepEqual(t, got, want)
}

// assertTransaction checks which invariants the reads of one transaction violate. Each runs on the
// open transaction of the member with the given index.
func (f *fixture) assertTransaction(t *testing.T, ids []ctquery.ID, members []int, want ...Invariant) {
	t.Helper()
	tx := &Transaction{group: groupName, session: "c", explicit: true}
	sessions := make(map[int]*memberSession)
	for i, id := range ids {
		s, ok := sessions[members[i]]
		if !ok {
			s = f.session(members[i], "c")
			s.run(queryOf(ctpeer.OwnID, ctpeer.Begin{ReadOnly: true}))
			sessions[members[i]] = s
		}
		f.run(s, tx, id, ctpeer.Read{Item: "i"})
	}
	f.assertViolations(t, want...)
}

func TestChecker(t *testing.T) {
	t.Run("accepts correct behaviour", func(t *testing.T) {
		f := newFixture()
		f.writeAcknowledged(t)
		f.replicate()
		required := f.checker.requirement(groupName, 0)
		tx := &Transaction{group: groupName, session: "c"}
		answer := f.runRequired(f.session(1, "c"), tx, "b", ctpeer.Read{Item: "i"}, required)
		f.checker.checkSuccess("b", answer)
		f.checker.checkFinalLog(groupName, f.group.newestLog())
		f.assertViolations(t)
	})
	t.Run("detects a stale read from a lagging replica", func(t *testing.T) {
		f := newFixture()
		f.writeAcknowledged(t)
		f.group.SetFaults(f.group.members[1], func(faults *memberFaults) { faults.applyLag = time.Hour })
		required := f.checker.requirement(groupName, 0)
		f.group.members[1].applied = 0
		f.runRequired(f.session(1, "c"), &Transaction{group: groupName, session: "c"}, "b", ctpeer.Read{Item: "i"}, required)
		f.assertViolations(t, InvariantFreshness)
	})
	t.Run("detects a statement that no caller sent", func(t *testing.T) {
		f := newFixture()
		f.session(0, "c").run(queryOf("x", ctpeer.Read{Item: "i"}))
		f.assertViolations(t, InvariantOnlySent)
	})
	t.Run("detects a changed statement", func(t *testing.T) {
		f := newFixture()
		f.checker.recordSent("x", ctpeer.Read{Item: "i"},
			&Transaction{group: groupName, session: "c"}, ctpeer.Shape{}, ReadRequirement{})
		f.session(0, "c").run(queryOf("x", ctpeer.Read{Item: "j"}))
		f.assertViolations(t, InvariantOnlySent)
	})
	t.Run("detects the state of another session", func(t *testing.T) {
		f := newFixture()
		f.run(f.session(0, "d"), &Transaction{group: groupName, session: "c"}, "x", ctpeer.Read{Item: "i"})
		f.assertViolations(t, InvariantIsolation)
	})
	t.Run("detects a statement inside another caller's transaction", func(t *testing.T) {
		f := newFixture()
		s := f.session(0, "c")
		s.run(queryOf(ctpeer.OwnID, ctpeer.Begin{}))
		f.run(s, &Transaction{group: groupName, session: "c", explicit: true}, "x", ctpeer.Read{Item: "i"})
		f.run(s, &Transaction{group: groupName, session: "c", explicit: true}, "y", ctpeer.Read{Item: "i"})
		f.assertViolations(t, InvariantIsolation)
	})
	t.Run("detects a transaction on two connections", func(t *testing.T) {
		newFixture().assertTransaction(t, []ctquery.ID{"x", "y"}, []int{0, 1}, InvariantIsolation)
	})
	t.Run("detects a transaction on both connections of its first statement", func(t *testing.T) {
		newFixture().assertTransaction(t, []ctquery.ID{"x", "x", "y", "z"}, []int{0, 1, 0, 1}, InvariantIsolation)
	})
	t.Run("detects a transaction that moves with its first statement", func(t *testing.T) {
		newFixture().assertTransaction(t, []ctquery.ID{"x", "y", "x", "z"}, []int{0, 0, 1, 1}, InvariantIsolation)
	})
	t.Run("accepts a first statement that runs late where it was given up", func(t *testing.T) {
		newFixture().assertTransaction(t, []ctquery.ID{"x", "x", "y", "z"}, []int{1, 0, 1, 1})
	})
	t.Run("accepts a first statement that is repeated elsewhere", func(t *testing.T) {
		newFixture().assertTransaction(t, []ctquery.ID{"x", "x", "y"}, []int{0, 1, 1})
	})
	t.Run("detects a statement in another group", func(t *testing.T) {
		f := newFixture()
		f.run(f.session(0, "c"), &Transaction{group: "h", session: "c"}, "x", ctpeer.Read{Item: "i"})
		f.assertViolations(t, InvariantRoute)
	})
	t.Run("detects a refused transaction in a log that is rolled back", func(t *testing.T) {
		f := newFixture()
		refused, committed := &Transaction{session: "c"}, &Transaction{session: "c"}
		f.checker.recordRefused(groupName, refused)
		f.checker.recordCommitted(groupName, committed)
		f.assertViolations(t)
		f.checker.recordCommitted(groupName, refused)
		f.checker.recordRefused(groupName, committed)
		f.assertViolations(t, InvariantRefusal, InvariantRefusal)
	})
	t.Run("detects the answer of another statement", func(t *testing.T) {
		f := newFixture()
		answer := f.run(f.session(0, "c"), &Transaction{group: groupName, session: "c"}, "x", ctpeer.Read{Item: "i"})
		f.checker.checkSuccess("y", answer)
		f.assertViolations(t, InvariantProof)
	})
	t.Run("detects an acknowledged commit that the promoted member lacks", func(t *testing.T) {
		f := newFixture()
		f.group.SetFaults(f.group.members[2], func(faults *memberFaults) { faults.isolated = true })
		f.writeAcknowledged(t)
		f.group.Crash(f.group.members[0])
		f.group.completePromotion(f.group.members[2])
		f.assertViolations(t, InvariantDurability)
	})
	t.Run("detects a duplicate write and a refused transaction in the log", func(t *testing.T) {
		f := newFixture()
		tx := &Transaction{group: groupName, session: "c"}
		log := []record{
			{entryID: entryID{1, 1}, tx: tx, writes: []ctquery.ID{"a"}},
			{entryID: entryID{1, 2}, tx: &Transaction{group: groupName, session: "c"}, writes: []ctquery.ID{"a"}},
		}
		f.checker.recordRefused(groupName, tx)
		f.checker.checkFinalLog(groupName, log)
		f.assertViolations(t, InvariantRefusal, InvariantAtMostOnce)
	})
}

// assertRequests checks which invariants two promotion requests of an epoch each violate. The
// second one follows after a pause.
func assertRequests(
	t *testing.T, first, second ctholderjudge.Request, pause time.Duration, inTouch bool, want ...Invariant,
) {
	t.Helper()
	f := newFixture()
	f.checker.holders.InTouch = func(string, time.Time) bool { return inTouch }
	first.At = time.Now()
	second.At = first.At.Add(pause)
	f.checker.recordRequest(first)
	f.checker.recordRequest(second)
	f.assertViolations(t, want...)
}

// TestRequests covers two holders that request promotions at the same service.
func TestRequests(t *testing.T) {
	const soon, late = ctholderjudge.Lease - 1, ctholderjudge.Lease
	of := func(group ctid.Group, holder string, epoch ctquorum.Epoch) ctholderjudge.Request {
		return ctholderjudge.Request{Group: group, Member: "m0", Holder: holder, Epoch: epoch}
	}
	t.Run("a holder requests again", func(t *testing.T) {
		assertRequests(t, of("g", "control-0", 2), of("g", "control-0", 2), 0, true)
	})
	t.Run("a later leader requests after a lease", func(t *testing.T) {
		assertRequests(t, of("g", "control-0", 2), of("g", "control-1", 3), late, true)
	})
	t.Run("a later leader requests after a fault", func(t *testing.T) {
		assertRequests(t, of("g", "control-0", 2), of("g", "control-1", 3), soon, false)
	})
	t.Run("holders take turns", func(t *testing.T) {
		assertRequests(t, of("g", "control-0", 2), of("g", "control-1", 3), soon, true, InvariantTurns)
	})
	t.Run("holders request in different groups", func(t *testing.T) {
		assertRequests(t, of("g", "control-0", 3), of("h", "control-1", 2), 0, true)
	})
	t.Run("an older epoch", func(t *testing.T) {
		assertRequests(t, of("g", "control-1", 3), of("g", "control-0", 2), late, true, InvariantEpochOrder)
	})
	t.Run("an older epoch during a fault", func(t *testing.T) {
		assertRequests(t, of("g", "control-1", 3), of("g", "control-0", 2), soon, false, InvariantEpochOrder)
	})
	t.Run("an older epoch of the same holder", func(t *testing.T) {
		assertRequests(t, of("g", "control-0", 3), of("g", "control-0", 2), late, true, InvariantEpochOrder)
	})
	t.Run("two holders in one epoch", func(t *testing.T) {
		assertRequests(t, of("g", "control-0", 2), of("g", "control-1", 2), late, false, InvariantSharedEpoch)
	})
	t.Run("two holders in one epoch for different groups", func(t *testing.T) {
		assertRequests(t, of("g", "control-0", 2), of("h", "control-1", 2), late, false, InvariantSharedEpoch)
	})
	t.Run("the service passes on all requests", func(t *testing.T) {
		f := newFixture()
		assert.Equal(t, f.group.Promote("m0", "core-1", 5), ctsuccession.PromotionAccepted)
		f.group.Promote("m0", "core-2", 4)
		f.assertViolations(t, InvariantEpochOrder, InvariantTurns)
	})
}

func TestGroup(t *testing.T) {
	t.Run("a replaced primary steps down once it can reach its successor", func(t *testing.T) {
		f := newFixture()
		f.writeAcknowledged(t)
		f.replicate()
		f.group.completePromotion(f.group.members[1])
		old := f.group.members[0]
		f.group.deliverLogs(time.Now())
		assert.Assert(t, old.primary)
		f.group.deliverLogs(time.Now().Add(2 * stepDownDelay))
		assert.Assert(t, !old.primary)
		f.assertViolations(t)
	})
	t.Run("a replica that was ahead of the new primary is rolled back", func(t *testing.T) {
		f := newFixture()
		f.group.SetFaults(f.group.members[2], func(faults *memberFaults) { faults.isolated = true })
		e := f.writeAcknowledged(t)
		f.group.SetFaults(f.group.members[2], func(faults *memberFaults) { faults.isolated = false })
		f.group.Crash(f.group.members[0])
		f.group.completePromotion(f.group.members[2])
		f.group.deliverLogs(time.Now())
		assert.Assert(t, !containsEntry(f.group.members[1].log, e))
		f.assertViolations(t, InvariantDurability)
	})
	t.Run("a paused replica receives nothing until it resumes", func(t *testing.T) {
		f := newFixture()
		s := f.session(1, "c")
		s.run(queryOf(ctpeer.OwnID, ctpeer.Pause{Term: 2}))
		f.writeAcknowledged(t)
		f.replicate()
		assert.Equal(t, len(f.group.members[1].log), 0)
		s.run(queryOf(ctpeer.OwnID, ctpeer.Resume{}))
		f.replicate()
		assert.Equal(t, len(f.group.members[1].log), 1)
	})
	t.Run("a commit waits until a replica has received it", func(t *testing.T) {
		f := newFixture()
		s := f.session(0, "c")
		answered := make(chan struct{})
		go func() {
			f.run(s, &Transaction{group: groupName, session: "c"}, "a", ctpeer.Write{Arguments: "i d"})
			close(answered)
		}()
		select {
		case <-answered:
			t.Fatal("the commit was acknowledged by the primary alone")
		case <-time.After(10 * defaultStatementDuration):
		}
		f.replicate()
		<-answered
	})
}
