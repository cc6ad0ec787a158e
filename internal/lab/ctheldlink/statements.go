package ctheldlink

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/cttext"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/platform/ctpeer"
)

// callerSession is a session of a caller.
type callerSession struct {
	proxy     Host
	freshness ctconfig.Freshness
	// values and prepared are what was acknowledged to the session. The Judge's mutex guards
	// them.
	values   map[string]string
	prepared map[string]ctpeer.Shape
}

// transaction is a transaction of a caller. A proxy sends its first statement with its beginning,
// and both again elsewhere if the answer to the beginning is lost or in doubt. They may then run
// at the first place too, and later than at the second one.
type transaction struct {
	startedAt time.Time
	// first is its first statement after the beginning, and firstRuns has the members' ends of
	// the connections on which that has run.
	first     ctquery.ID
	firstRuns map[*session]bool
	// conn is the one of these on which the statements behind the first one run; nil before the
	// second statement.
	conn *session
}

// place records the connection of a statement after the beginning, and reports whether it is the
// transaction's.
func (t *transaction) place(id ctquery.ID, conn *session) bool {
	if t.first == "" {
		t.first, t.firstRuns = id, make(map[*session]bool)
	}
	if t.first == id {
		t.firstRuns[conn] = true
		return true
	}
	if t.conn == nil && t.firstRuns[conn] {
		t.conn = conn
	}
	return t.conn == conn
}

// asked is a statement that a caller has sent.
type asked struct {
	statement ctpeer.Statement
	session   *callerSession
	// shape is that of the prepared statement to execute, else empty.
	shape ctpeer.Shape
	// transaction is nil for a single statement.
	transaction *transaction
	// startedAt is when the statement or its transaction was sent.
	startedAt time.Time
}

// result is a member's successful answer.
type result struct {
	id     ctquery.ID
	member ctid.Member
	rows   []string
}

// run is a statement that a member runs.
type run struct {
	query ctpeer.Query
	// shape is that of the prepared statement on the member's connection, else empty.
	shape  ctpeer.Shape
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
	if s, ok := a.statement.(ctpeer.Execute); ok {
		a.shape = a.session.prepared[s.Name]
	}
	j.asked[id] = &a
}

// recordRun checks a statement that a member runs.
func (j *Judge) recordRun(r run) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if strings.ContainsRune(r.query.Text, '\n') {
		j.violate(RuleUnasked, "%s runs %q, a text that can't be passed on", r.member, r.query.Text)
	}
	if r.query.ID == ctpeer.OwnID {
		j.checkOwnStatement(r)
		return
	}
	a, ok := j.asked[r.query.ID]
	if !ok || !a.sentAs(r.query) {
		j.violate(RuleUnasked, "%s runs %q, %q; asked: %+v", r.member, r.query.ID, r.query.Text, a)
		return
	}
	j.checkPinned(a, r)
	j.checkState(a, r)
	if !a.shape.Writes && isRead(r.query.Statement) {
		j.checkFresh(a, r)
	}
}

// sentAs reports whether a member has received the text that was sent, byte for byte. A
// prepared statement may have another name.
func (a *asked) sentAs(q ctpeer.Query) bool {
	if sent, ok := a.statement.(ctpeer.Execute); ok {
		received, ok := q.Statement.(ctpeer.Execute)
		return ok && received.Arguments == sent.Arguments
	}
	return q.Text == ctpeer.FormatStatement(a.statement)
}

// isRead reports whether a statement reads, or may if it is prepared.
func isRead(statement ctpeer.Statement) bool {
	switch statement.(type) {
	case ctpeer.Read, ctpeer.Execute:
		return true
	}
	return false
}

// checkState checks that a statement runs with the values and in the shape of its session.
// The caller has locked the mutex.
func (j *Judge) checkState(a *asked, r run) {
	switch r.query.Statement.(type) {
	case ctpeer.Read, ctpeer.Write, ctpeer.Execute:
	default:
		return
	}
	if r.shape != a.shape {
		j.violate(RulePinned, "%s runs %s as %q, prepared: %q", r.member, r.query.ID, r.shape, a.shape)
	}
	if !maps.Equal(r.conn.values, a.session.values) {
		j.violate(RulePinned, "%s runs %s with the values %q, set: %q", r.member, r.query.ID, r.conn.values, a.session.values)
	}
}

// checkOwnStatement checks a statement of a proxy or control: it neither reads nor commits
// a write. The caller has locked the mutex.
func (j *Judge) checkOwnStatement(r run) {
	unasked := false
	switch r.query.Statement.(type) {
	case nil, ctpeer.Read, ctpeer.Write, ctpeer.Execute:
		unasked = true
	case ctpeer.Commit:
		unasked = len(r.conn.writes) > 0
	}
	if unasked {
		j.violate(RuleUnasked, "%s runs %q, which no caller sent", r.member, r.query.Text)
	}
}

// checkPinned checks that a statement runs in its own transaction, on one connection. The
// caller has locked the mutex.
func (j *Judge) checkPinned(a *asked, r run) {
	_, begins := r.query.Statement.(ctpeer.Begin)
	switch {
	case begins && a.transaction != nil && !r.conn.open:
	case a.transaction == nil && !r.conn.open:
	case a.transaction == nil:
		j.violate(RulePinned, "%s runs %s inside a transaction", r.member, r.query.ID)
	case !r.conn.open || begins:
		j.violate(RulePinned, "%s runs %s, %#v, outside its transaction", r.member, r.query.ID, r.query.Statement)
	case r.conn.transaction != a.transaction || !a.transaction.place(r.query.ID, r.conn):
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

// recordResult adds a proof that no other answer has to an answer, and rows of any text if it
// has rows. The first one belongs to no other answer.
func (j *Judge) recordResult(m ctid.Member, id ctquery.ID, answer *ctpeer.Answer, hasRows bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	number := len(j.results) + 1
	answer.Proof = fmt.Sprintf("mac-%d", number)
	if hasRows {
		own := fmt.Sprintf("row-%d", number)
		answer.Rows = []string{own + cttext.Field(j.random, ""), cttext.Field(j.random, own), ""}
	}
	j.results[answer.Proof] = result{id: id, member: m, rows: answer.Rows}
}

// checkAnswer checks the proof and the rows of a successful answer to a read, a write or a
// commit, and records the state that others change. The caller has locked the mutex.
func (j *Judge) checkAnswer(id ctquery.ID, answer ctpeer.Answer) {
	a := j.asked[id]
	switch a.statement.(type) {
	case ctpeer.Read, ctpeer.Write, ctpeer.Execute, ctpeer.Commit:
	default:
		a.session.apply(a.statement)
		return
	}
	r, ok := j.results[answer.Proof]
	if !ok || r.id != id || !slices.Equal(r.rows, answer.Rows) {
		j.violate(RuleMixed, "%s answers %s, %#v, with proof %q and rows %q; that is %+v",
			a.session.proxy, id, a.statement, answer.Proof, answer.Rows, r)
	}
}

// apply records a change of a session's state that was acknowledged.
func (s *callerSession) apply(statement ctpeer.Statement) {
	switch st := statement.(type) {
	case ctpeer.Set:
		s.values[st.Name] = st.Value
	case ctpeer.Prepare:
		s.prepared[st.Name] = st.Shape
	case ctpeer.Deallocate:
		delete(s.prepared, st.Name)
	}
}
