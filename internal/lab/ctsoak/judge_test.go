package ctsoak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

const group = ctid.Group("g")

// bench is a group without a network whose replicas receive when a test says so.
type bench struct {
	judge *Checker
	group *Group
}

func newBench() *bench {
	judge := NewChecker()
	return &bench{judge: judge, group: NewGroup(group, []ctid.Member{"m0", "m1", "m2"}, 2, judge)}
}

// session opens a connection to a member with a caller's values.
func (b *bench) session(member int, owner string) *session {
	s := newSession(b.group, b.group.members[member])
	s.run(ctquery.Query{Statement: ctquery.Set{Name: ownerValue, Value: owner}})
	return s
}

// deliver delivers the log for a while.
func (b *bench) deliver() {
	for range 3 {
		b.group.deliver(time.Now())
		time.Sleep(usualLag)
	}
}

// ask sends a statement as a caller would and runs it at once.
func (b *bench) ask(s *session, block *Transaction, id ctquery.ID, statement ctquery.Statement) ctquery.Answer {
	q := ctquery.Query{ID: id, Statement: statement}
	b.judge.expect(q, block, ctquery.Shape{})
	answer, _ := s.run(q)
	return answer
}

// write writes with a block of its own and tells that it was acknowledged.
func (b *bench) write(t *testing.T) entry {
	const id = ctquery.ID("a")
	t.Helper()
	done := make(chan struct{})
	go func() {
		b.group.replicate(done)
	}()
	defer close(done)
	answer := b.ask(b.session(0, "c"), &Transaction{session: "c"}, id, ctquery.Write{Arguments: "i d"})
	assert.Assert(t, answer.OK(), "%s", answer.Fault)
	e, made := b.judge.success(id, answer, ReadRequirement{})
	assert.Assert(t, made)
	b.judge.acknowledged(group, e)
	return e
}

// assertBreaches checks which promises were broken, in order.
func (b *bench) assertBreaches(t *testing.T, want ...Invariant) {
	t.Helper()
	var got []Invariant
	for _, breach := range b.judge.Violations() {
		got = append(got, breach.Invariant)
	}
	assert.DeepEqual(t, got, want)
}

func TestJudge(t *testing.T) {
	t.Run("lets what is right pass", func(t *testing.T) {
		b := newBench()
		b.write(t)
		b.deliver()
		demand := b.judge.demand(group, 0)
		answer := b.ask(b.session(1, "c"), &Transaction{session: "c"}, "b", ctquery.Read{Item: "i"})
		b.judge.success("b", answer, demand)
		b.judge.final(group, b.group.newest())
		b.assertBreaches(t)
	})
	t.Run("sees a read of a replica that is behind", func(t *testing.T) {
		b := newBench()
		b.write(t)
		b.group.SetFaults(b.group.members[1], func(r *troubles) { r.lag = time.Hour })
		demand := b.judge.demand(group, 0)
		b.group.members[1].applied = 0
		answer := b.ask(b.session(1, "c"), &Transaction{session: "c"}, "b", ctquery.Read{Item: "i"})
		b.judge.success("b", answer, demand)
		b.assertBreaches(t, InvariantFreshness)
	})
	t.Run("sees a statement that nobody sent", func(t *testing.T) {
		b := newBench()
		b.session(0, "c").run(ctquery.Query{ID: "x", Statement: ctquery.Read{Item: "i"}})
		b.assertBreaches(t, InvariantOnlySent)
	})
	t.Run("sees another statement than was sent", func(t *testing.T) {
		b := newBench()
		b.judge.expect(ctquery.Query{ID: "x", Statement: ctquery.Read{Item: "i"}},
			&Transaction{session: "c"}, ctquery.Shape{})
		b.session(0, "c").run(ctquery.Query{ID: "x", Statement: ctquery.Read{Item: "j"}})
		b.assertBreaches(t, InvariantOnlySent)
	})
	t.Run("sees the values of another session", func(t *testing.T) {
		b := newBench()
		b.ask(b.session(0, "d"), &Transaction{session: "c"}, "x", ctquery.Read{Item: "i"})
		b.assertBreaches(t, InvariantIsolation)
	})
	t.Run("sees a statement inside another caller's transaction", func(t *testing.T) {
		b := newBench()
		s := b.session(0, "c")
		s.run(ctquery.Query{Statement: ctquery.Begin{}})
		b.ask(s, &Transaction{session: "c", transaction: true}, "x", ctquery.Read{Item: "i"})
		b.ask(s, &Transaction{session: "c", transaction: true}, "y", ctquery.Read{Item: "i"})
		b.assertBreaches(t, InvariantIsolation)
	})
	t.Run("sees rows of another statement", func(t *testing.T) {
		b := newBench()
		answer := b.ask(b.session(0, "c"), &Transaction{session: "c"}, "x", ctquery.Read{Item: "i"})
		b.judge.success("y", answer, ReadRequirement{})
		b.assertBreaches(t, InvariantProof)
	})
	t.Run("sees a commit that the promoted member lacks", func(t *testing.T) {
		b := newBench()
		b.group.SetFaults(b.group.members[2], func(r *troubles) { r.apart = true })
		b.write(t)
		b.group.Crash(b.group.members[0])
		b.group.promoted(b.group.members[2])
		b.assertBreaches(t, InvariantDurability)
	})
	t.Run("sees a write that took effect twice, and one that was refused", func(t *testing.T) {
		b := newBench()
		block := &Transaction{session: "c"}
		log := []record{
			{entry: entry{1, 1}, block: block, writes: []ctquery.ID{"a"}},
			{entry: entry{1, 2}, block: &Transaction{session: "c"}, writes: []ctquery.ID{"a"}},
		}
		b.judge.refused(group, block)
		b.judge.final(group, log)
		b.assertBreaches(t, InvariantRefusal, InvariantAtMostOnce)
	})
	t.Run("sees an order of an older epoch", func(t *testing.T) {
		b := newBench()
		assert.Equal(t, b.group.Promote("m0", "core-1", 5), ctsuccession.PromotionAccepted)
		b.group.Promote("m0", "core-2", 4)
		b.assertBreaches(t, InvariantSinglePromoter)
	})
}

func TestGroup(t *testing.T) {
	t.Run("a primary that was replaced steps down once it can reach the new one", func(t *testing.T) {
		b := newBench()
		b.write(t)
		b.deliver()
		b.group.promoted(b.group.members[1])
		old := b.group.members[0]
		b.group.deliver(time.Now())
		assert.Assert(t, old.primary)
		b.group.deliver(time.Now().Add(2 * abdicateTime))
		assert.Assert(t, !old.primary)
		b.assertBreaches(t)
	})
	t.Run("a replica that was ahead of the new primary is rolled back", func(t *testing.T) {
		b := newBench()
		b.group.SetFaults(b.group.members[2], func(r *troubles) { r.apart = true })
		e := b.write(t)
		b.group.SetFaults(b.group.members[2], func(r *troubles) { r.apart = false })
		b.group.Crash(b.group.members[0])
		b.group.promoted(b.group.members[2])
		b.group.deliver(time.Now())
		assert.Assert(t, !shows(b.group.members[1].log, e))
		b.assertBreaches(t, InvariantDurability)
	})
	t.Run("a paused replica receives nothing until it resumes", func(t *testing.T) {
		b := newBench()
		pause := b.session(1, "c")
		pause.run(ctquery.Query{Statement: ctquery.Pause{Term: 2}})
		b.write(t)
		b.deliver()
		assert.Equal(t, len(b.group.members[1].log), 0)
		pause.run(ctquery.Query{Statement: ctquery.Resume{}})
		b.deliver()
		assert.Equal(t, len(b.group.members[1].log), 1)
	})
	t.Run("a commit waits until a replica has it", func(t *testing.T) {
		b := newBench()
		s := b.session(0, "c")
		answered := make(chan struct{})
		go func() {
			b.ask(s, &Transaction{session: "c"}, "a", ctquery.Write{Arguments: "i d"})
			close(answered)
		}()
		select {
		case <-answered:
			t.Fatal("the commit was acknowledged by the primary alone")
		case <-time.After(10 * usualWork):
		}
		b.deliver()
		<-answered
	})
}
