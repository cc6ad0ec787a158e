package ctrawmember

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// AnswerTimeout is how long an answer may take.
const AnswerTimeout = 5 * time.Second

// Session runs random operations at a member that repeats answers, and judges what it gets.
type Session struct {
	member *stutterer
	pools  *ctpools.Pools
	held   ctlock.Held
	random *rand.Rand
	count  int
	tally  Tally
}

// Tally counts answers. The wrong ones are those of another query.
type Tally struct {
	right, doubtful             int
	wrongSuccesses, wrongFaults int
	wrongStatuses, untrueUnsent int
	harmlessFaults              int
	violations                  int
}

// Play runs operations of a new session and returns the counts and how many connections were
// opened.
func Play(seed uint64, inOrder bool, operations int) (tally Tally, dials int, err error) {
	s := NewSession(seed, inOrder)
	for range operations {
		if err := s.Operate(); err != nil {
			return s.Tally(), s.Dials(), err
		}
	}
	return s.Tally(), s.Dials(), nil
}

// Operate runs a random operation.
func (s *Session) Operate() error {
	conn, err := s.pools.Acquire(&s.held, MemberName, ctpools.AcquireOptions{
		Deadline: time.Now().Add(AnswerTimeout),
	})
	if err != nil {
		return err
	}
	state := ctdialog.NewState(map[ctquery.Word]ctquery.Text{"v": ctquery.Text(strconv.Itoa(s.random.IntN(2)))}, nil)
	ok := false
	switch s.random.IntN(4) {
	case 0:
		ok = s.runStatus(conn)
	case 1:
		ok = s.runTransaction(conn, state)
	case 2:
		_, ok = s.run(conn, state, "", ctquery.Read{Item: "x"})
	case 3:
		_, ok = s.run(conn, state, "", ctquery.Write{Arguments: "x 1"})
	}
	s.pools.Release(&s.held, conn, ctpools.Result{Answered: ok, Discard: !ok})
	return nil
}

// runTransaction runs a transaction and reports whether the connection may be used again.
func (s *Session) runTransaction(conn *ctpools.Conn, state *ctdialog.State) bool {
	answer, ok := s.run(conn, state, "", ctquery.Begin{})
	for range s.random.IntN(3) {
		if !ok || !answer.OK() {
			break
		}
		answer, ok = s.run(conn, state, transactionPrefix, ctquery.Write{Arguments: "x 1"})
	}
	if ok && answer.OK() && s.random.IntN(2) == 0 {
		answer, ok = s.run(conn, state, transactionPrefix, ctquery.Commit{})
	}
	if ok && answer.Transaction != ctquery.TransactionNone {
		answer, ok = s.run(conn, nil, "", ctquery.Rollback{})
	}
	return ok && answer.Transaction == ctquery.TransactionNone
}

// run runs a statement and judges its answer. It returns false if none was accepted.
func (s *Session) run(
	conn *ctpools.Conn, state *ctdialog.State, prefix string, statement ctquery.Statement,
) (ctquery.Answer, bool) {
	s.count++
	id := ctquery.ID(fmt.Sprintf("%s%d", prefix, s.count))
	limits := ctpools.Limits{Deadline: time.Now().Add(AnswerTimeout)}
	answer, err := conn.Run(state, ctquery.Query{ID: id, Statement: statement}, limits)
	truth, sent := s.member.outcome(id)
	switch {
	case err != nil && cterror.KindOf(err) == cterror.Exhausted && sent:
		s.tally.untrueUnsent++
	case err != nil:
		s.tally.doubtful++
	case !sent:
		// A rollback outside a transaction needs no member.
	case answer.OK() && (!truth.OK() || answer.Proof != truth.Proof):
		s.tally.wrongSuccesses++
	case !answer.OK() && (truth.Fault != answer.Fault || truth.Text != answer.Text):
		s.recordWrongFault(prefix, statement)
	default:
		s.tally.right++
	}
	return answer, err == nil
}

// recordWrongFault counts the fault of another query. Of a read outside a transaction, or of a
// begin, a member keeps nothing, so that no promise is untrue.
func (s *Session) recordWrongFault(prefix string, statement ctquery.Statement) {
	switch statement.(type) {
	case ctquery.Read, ctquery.Begin:
		if prefix == "" {
			s.tally.harmlessFaults++
			return
		}
	}
	s.tally.wrongFaults++
}

// runStatus queries the member's status, which must be from after the query was sent.
func (s *Session) runStatus(conn *ctpools.Conn) bool {
	before := s.member.answeredCount()
	limits := ctpools.Limits{Deadline: time.Now().Add(AnswerTimeout)}
	answer, err := conn.Run(nil, ctquery.Query{Statement: ctquery.ReadStatus{}}, limits)
	switch {
	case err != nil:
		s.tally.doubtful++
		return false
	case len(answer.Rows) != 1:
		s.tally.wrongStatuses++
		return true
	}
	if number, err := strconv.Atoi(answer.Rows[0]); err != nil || number <= before {
		s.tally.wrongStatuses++
	} else {
		s.tally.right++
	}
	return true
}

// MemberName is the name of the member of NewPools.
const MemberName ctid.Member = "m1"

// NewSession returns a session with a member that repeats answers, by themselves or many in a
// row. The seed decides what happens.
func NewSession(seed uint64, inOrder bool) *Session {
	member := &stutterer{
		inOrder:  inOrder,
		random:   rand.New(rand.NewPCG(seed, 1)),
		outcomes: make(map[ctquery.ID]ctquery.Answer),
		point:    ctposition.Point{Term: 1, Position: 1},
	}
	return &Session{
		member: member, random: rand.New(rand.NewPCG(seed, 2)), pools: NewPools(member, zerolog.Nop()),
	}
}

// NewPools returns the pools of a proxy that knows one member, MemberName.
func NewPools(dialer ctpools.Dialer, logger zerolog.Logger) *ctpools.Pools {
	var held ctlock.Held
	self := ctview.Proxy{Name: "p1", FailureDomain: "d1", State: ctserver.StateReady}
	pools := ctpools.New(dialer, self, nil, &ctclock.System{}, logger)
	pools.ApplyView(&held, &ctview.View{
		Members: map[ctid.Member]ctserver.Announcement{MemberName: {
			Group: "g", Member: MemberName, FailureDomain: "d1", Incarnation: 1,
			State: ctserver.StateReady, Slots: 2, Connections: 8,
		}},
		Proxies: map[ctid.Proxy]ctview.Proxy{self.Name: self},
	})
	return pools
}

// Tally returns the counts so far.
func (s *Session) Tally() Tally {
	tally := s.tally
	tally.violations = len(s.member.violations)
	return tally
}

// Dials returns how many connections were opened.
func (s *Session) Dials() int {
	return s.member.dials
}

// Wrong returns how many answers were wrong.
func (t *Tally) Wrong() int {
	return t.wrongSuccesses + t.wrongFaults + t.wrongStatuses + t.untrueUnsent + t.violations
}

// Add adds the counts of another tally.
func (t *Tally) Add(o Tally) {
	t.right += o.right
	t.doubtful += o.doubtful
	t.wrongSuccesses += o.wrongSuccesses
	t.wrongFaults += o.wrongFaults
	t.wrongStatuses += o.wrongStatuses
	t.untrueUnsent += o.untrueUnsent
	t.violations += o.violations
	t.harmlessFaults += o.harmlessFaults
}

// Open opens a connection to a member that belongs to no pool.
func Open(ctx context.Context, dialer ctpools.Dialer) (*ctpools.Conn, error) {
	opener := ctpools.Opener{Dialer: dialer, Clock: &ctclock.System{}, Logger: zerolog.Nop()}
	return opener.Open(ctx, ctserver.Announcement{Member: MemberName})
}

// Run runs a statement of a session with parameters.
func Run(
	conn *ctpools.Conn, parameters map[ctquery.Word]ctquery.Text, id ctquery.ID, statement ctquery.Statement,
) (ctquery.Answer, error) {
	limits := ctpools.Limits{Deadline: time.Now().Add(AnswerTimeout)}
	return conn.Run(ctdialog.NewState(parameters, nil), ctquery.Query{ID: id, Statement: statement}, limits)
}
