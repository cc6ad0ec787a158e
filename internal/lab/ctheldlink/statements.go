package ctheldlink

import (
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

// callerSession is a session of a caller.
type callerSession struct {
	proxy     Host
	freshness ctconfig.Freshness
}

// transaction is a transaction of a caller.
type transaction struct {
	startedAt time.Time
	// conn is the member's end of the connection on which its first statement ran.
	conn *session
}

// asked is a statement that a caller has sent.
type asked struct {
	statement ctquery.Statement
	session   *callerSession
	// transaction is nil for a single statement.
	transaction *transaction
	// startedAt is when the statement or its transaction was sent.
	startedAt time.Time
	// ranAt lists the members that have run it.
	ranAt []ctid.Member
}

// run is a statement that a member runs.
type run struct {
	query  ctquery.Query
	member ctid.Member
	conn   *session
	// log has the commits that are visible to it.
	log []entry
}

// acknowledgment is a commit that a caller knows of.
type acknowledgment struct {
	id      ctquery.ID
	session *callerSession
	at      time.Time
}

// recordAsked records a statement before its first byte is sent.
func (j *Judge) recordAsked(id ctquery.ID, a asked) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	a.startedAt = time.Now()
	if a.transaction != nil {
		if a.transaction.startedAt.IsZero() {
			a.transaction.startedAt = a.startedAt
		}
		a.startedAt = a.transaction.startedAt
	}
	j.asked[id] = &a
}

// recordRun checks a statement that a member runs.
func (j *Judge) recordRun(r run) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if r.query.ID == "" {
		j.checkOwnStatement(r)
		return
	}
	a, ok := j.asked[r.query.ID]
	if !ok || a.statement != r.query.Statement {
		j.violate(RuleUnasked, "%s runs %s, %#v; asked: %+v", r.member, r.query.ID, r.query.Statement, a)
		return
	}
	a.ranAt = append(a.ranAt, r.member)
	j.checkPinned(a, r)
	if _, ok := r.query.Statement.(ctquery.Read); ok {
		j.checkFresh(a, r)
	}
}

// checkOwnStatement checks a statement of a proxy or control: it neither reads nor commits
// a write. The caller has locked the mutex.
func (j *Judge) checkOwnStatement(r run) {
	unasked := false
	switch r.query.Statement.(type) {
	case ctquery.Read, ctquery.Write:
		unasked = true
	case ctquery.Commit:
		unasked = len(r.conn.writes) > 0
	}
	if unasked {
		j.violate(RuleUnasked, "%s runs %#v, which no caller sent", r.member, r.query.Statement)
	}
}

// checkPinned checks that a statement runs in its own transaction, on one connection. The
// caller has locked the mutex.
func (j *Judge) checkPinned(a *asked, r run) {
	_, begins := r.query.Statement.(ctquery.Begin)
	switch {
	case begins && a.transaction != nil && !r.conn.open:
		// A proxy may begin the transaction again elsewhere while nothing else has run in it.
		a.transaction.conn = r.conn
	case a.transaction == nil && !r.conn.open:
	case a.transaction == nil:
		j.violate(RulePinned, "%s runs %s inside a transaction", r.member, r.query.ID)
	case !r.conn.open || begins:
		j.violate(RulePinned, "%s runs %s, %#v, outside its transaction", r.member, r.query.ID, r.query.Statement)
	case a.transaction.conn != r.conn || r.conn.transaction != a.transaction:
		j.violate(RulePinned, "%s runs %s, %#v, in another transaction", r.member, r.query.ID, r.query.Statement)
	}
	if begins {
		r.conn.transaction = a.transaction
	}
}

// checkFresh checks that a read runs on a log that has the commits that it must see. The
// caller has locked the mutex.
func (j *Judge) checkFresh(a *asked, r run) {
	for _, k := range j.acknowledgments {
		if !k.at.Before(a.startedAt) || j.lost[k.id] || j.replaced[k.id] || has(r.log, k.id, j.commits[k.id]) {
			continue
		}
		if a.requires(k) {
			j.violate(RuleStale, "%s runs read %s of %s without commit %s at %s, acknowledged %s before it was sent; log: %d",
				r.member, r.query.ID, a.session.proxy, k.id, j.commits[k.id].point,
				a.startedAt.Sub(k.at).Round(time.Millisecond), len(r.log))
			return
		}
	}
}

// requires reports whether a read must see a commit that was acknowledged before it was sent.
func (a *asked) requires(k acknowledgment) bool {
	switch a.session.freshness {
	case ctconfig.FreshnessPrimary:
		return true
	case ctconfig.FreshnessSession:
		if k.session == a.session {
			return true
		}
	case ctconfig.FreshnessBounded:
	}
	return k.at.Before(a.startedAt.Add(-maxStaleness))
}

// has reports whether a log has a commit.
func has(log []entry, id ctquery.ID, c commit) bool {
	number := int(c.point.Position)
	return number > 0 && number <= len(log) && log[number-1].id == id
}

// checkAnswer checks the proof and the rows of a successful answer to a read, a write or a
// commit. The caller has locked the mutex.
func (j *Judge) checkAnswer(id ctquery.ID, answer ctquery.Answer) {
	a := j.asked[id]
	var rows []string
	switch a.statement.(type) {
	case ctquery.Read:
		rows = []string{rowOf(id)}
	case ctquery.Write, ctquery.Commit:
	default:
		return
	}
	proven := slices.ContainsFunc(a.ranAt, func(m ctid.Member) bool { return answer.Proof == proofOf(m, id) })
	if !proven || !slices.Equal(rows, answer.Rows) {
		j.violate(RuleMixed, "%s answers %s, %#v, with %q and rows %q; it ran at %q",
			a.session.proxy, id, a.statement, answer.Proof, answer.Rows, a.ranAt)
	}
}

// proofOf returns a member's proof that it ran a statement.
func proofOf(m ctid.Member, id ctquery.ID) string {
	return "mac-" + string(m) + "-" + string(id)
}

// rowOf returns the row that a read returns.
func rowOf(id ctquery.ID) string {
	return "row-" + string(id)
}
