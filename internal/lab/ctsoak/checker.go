package ctsoak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctholderjudge"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/cttext"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/platform/ctpeer"
)

// Invariant identifies a property that must hold during the whole run. Its value is
// written to reports.
type Invariant string

// The invariants that are checked.
const (
	// InvariantOnlySent: members run only the statements that callers sent, unchanged.
	InvariantOnlySent Invariant = "asked"
	// InvariantIsolation: no other caller's statement runs inside a transaction or with
	// the state of a session.
	InvariantIsolation Invariant = "pinned"
	// InvariantProof: a successful answer has the rows and the proof of the member that
	// ran the statement.
	InvariantProof Invariant = "proof"
	// InvariantFreshness: a read shows every commit that its route requires.
	InvariantFreshness Invariant = "fresh"
	// InvariantDurability: acknowledged commits are not lost.
	InvariantDurability Invariant = "kept"
	// InvariantAtMostOnce: a write takes effect at most once.
	InvariantAtMostOnce Invariant = "once"
	// InvariantRefusal: a transaction that was refused or aborted leaves nothing in any
	// log, also not in one that is rolled back later.
	InvariantRefusal Invariant = "refusal"
	// InvariantSharedEpoch: no two holders request promotions in one epoch.
	InvariantSharedEpoch Invariant = "shared_epoch"
	// InvariantTurns: holders that aren't disturbed don't take turns in a group within
	// ctholderjudge.Lease.
	InvariantTurns Invariant = "turns"
	// InvariantEpochOrder: no promotion is requested in a lower epoch than one before in the
	// same group. No fault excuses that.
	InvariantEpochOrder Invariant = "epoch_order"
	// InvariantConfig: an acknowledged configuration is not lost, and no process returns
	// to an older release.
	InvariantConfig Invariant = "config"
	// InvariantTimelyAnswer: statements are answered in time, and proxies without a fault
	// close no connections.
	InvariantTimelyAnswer Invariant = "answer"
	// InvariantNoExit: processes exit only when they are stopped, and the Go runtime
	// reports no panic or data race in them.
	InvariantNoExit Invariant = "runs"
	// InvariantRoute: members run only statements of sessions on databases of their group.
	InvariantRoute Invariant = "route"
	// InvariantDrain: a proxy that was asked to stop becomes unready, and lets open
	// transactions go on for half of its time.
	InvariantDrain Invariant = "drain"
	// InvariantRecovery: callers are served again after the faults.
	InvariantRecovery Invariant = "recovery"
)

// Violation is an observation that contradicts an invariant.
type Violation struct {
	// Elapsed is the time since the checker was created.
	Elapsed   time.Duration `json:"after"`
	Invariant Invariant     `json:"promise"`
	Detail    string        `json:"what"`
}

// String formats the violation for people.
func (v Violation) String() string {
	return fmt.Sprintf("%7.3fs %s: %s", v.Elapsed.Seconds(), v.Invariant, v.Detail)
}

// maxViolations is how many violations are stored. An invariant that is violated once is
// often violated many times more.
const maxViolations = 200

// Transaction is what commits or rolls back as a whole: an explicit transaction, or a
// single statement outside of one. The checker compares transactions by their address.
type Transaction struct {
	// group is the group of the session's database.
	group ctid.Group
	// session is the name of the caller's session.
	session string
	// values are the session's values beside its owner. They don't change any more.
	values map[string]string
	// explicit reports whether the transaction starts with a Begin statement.
	explicit bool
	// startedAt is when the caller began it.
	startedAt time.Time
	// commitRequested is set when the caller sends the statement that commits it.
	commitRequested bool
	// first is its first statement that a member ran. A proxy repeats it elsewhere if its answer is
	// lost or in doubt, and it may then run at the first place later than at the second one.
	// firstRuns has the connections on which it ran.
	first     ctquery.ID
	firstRuns map[*memberSession]bool
	// connection is the one of these on which the later statements run. Before the second
	// statement it is the one on which the first ran last.
	connection *memberSession
	// placed reports whether a later statement has run.
	placed bool
}

// place records the connection of a statement, and reports whether it is the transaction's.
func (t *Transaction) place(id ctquery.ID, s *memberSession) bool {
	if t.first == "" {
		t.first, t.firstRuns = id, make(map[*memberSession]bool)
	}
	if t.first == id {
		t.firstRuns[s] = true
		if !t.placed {
			t.connection = s
		}
		return true
	}
	if !t.placed && t.firstRuns[s] {
		t.connection, t.placed = s, true
	}
	return t.placed && t.connection == s
}

// sessionValues returns the values with which its statements must run.
func (t *Transaction) sessionValues() map[string]string {
	values := map[string]string{ownerVariable: t.session}
	maps.Copy(values, t.values)
	return values
}

// sentStatement is a statement as its caller sent it.
type sentStatement struct {
	tx        *Transaction
	statement ctpeer.Statement
	// shape is that of the prepared statement to execute, else empty.
	shape ctpeer.Shape
	// required is what a read must show.
	required ReadRequirement
	// ran is set when a member has run the statement.
	ran bool
}

// execution is a statement that a member ran.
type execution struct {
	id   ctquery.ID
	rows []string
	// visible is the part of the log that the statement saw. For a read this is what the
	// member had applied; for a commit with writes it ends with the commit's own entry. It is
	// nil for other statements.
	visible []record
}

// Checker compares what callers observe with what members run, and records violations of
// the invariants. Its methods may be called concurrently.
type Checker struct {
	start time.Time

	mutex sync.Mutex
	// random draws rows.
	random     *rand.Rand
	violations []Violation
	sent       map[ctquery.ID]sentStatement
	// executions are stored by their proof.
	executions map[string]execution
	proofCount int
	outcomes   map[ctid.Group]*writeOutcomes
	// holders judges the promotion requests that the service has received.
	holders ctholderjudge.Judge
}

// writeOutcomes are the outcomes of a group's writes as callers received them.
type writeOutcomes struct {
	// acknowledged are the acknowledged commits in the order of the answers.
	acknowledged []acknowledgement
	// refused are the transactions that were refused as not run or as rolled back.
	refused map[*Transaction]bool
	// committed are the transactions that a member has appended to its log.
	committed map[*Transaction]bool
}

// acknowledgement is a log entry and when its caller received the successful answer.
type acknowledgement struct {
	at    time.Time
	entry entryID
}

// NewChecker returns a checker without records, for which no process is ever disturbed.
// Violation times count from now. The seed decides the rows of reads.
func NewChecker(seed uint64) *Checker {
	return &Checker{
		random:     rand.New(rand.NewPCG(seed, rowStream)),
		start:      time.Now(),
		sent:       make(map[ctquery.ID]sentStatement),
		executions: make(map[string]execution),
		outcomes:   make(map[ctid.Group]*writeOutcomes),
	}
}

// Violations returns a copy of the recorded violations in the order of their times.
func (c *Checker) Violations() []Violation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]Violation(nil), c.violations...)
}

// recordViolation records a violation. The format and its arguments describe what was seen.
func (c *Checker) recordViolation(invariant Invariant, format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.recordViolationLocked(invariant, format, arguments...)
}

// recordViolationLocked is recordViolation for callers that hold the mutex.
func (c *Checker) recordViolationLocked(invariant Invariant, format string, arguments ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{
			Elapsed: time.Since(c.start), Invariant: invariant, Detail: fmt.Sprintf(format, arguments...),
		})
	}
}

// groupOutcomes returns the outcomes of a group's writes, and adds an empty record if there
// is none. The caller holds the mutex.
func (c *Checker) groupOutcomes(group ctid.Group) *writeOutcomes {
	outcomes, ok := c.outcomes[group]
	if !ok {
		outcomes = &writeOutcomes{refused: make(map[*Transaction]bool), committed: make(map[*Transaction]bool)}
		c.outcomes[group] = outcomes
	}
	return outcomes
}

// recordSent records that a caller sends a statement of a transaction. It must be called
// before the statement is sent. The shape is that of the prepared statement to execute,
// else empty. A read must show what is required, also if its answer is lost.
func (c *Checker) recordSent(
	id ctquery.ID, statement ctpeer.Statement, tx *Transaction, shape ctpeer.Shape, required ReadRequirement,
) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sent[id] = sentStatement{tx: tx, statement: statement, shape: shape, required: required}
	switch statement.(type) {
	case ctpeer.Commit:
		tx.commitRequested = true
	case ctpeer.Write, ctpeer.Execute:
		if !tx.explicit {
			tx.commitRequested = true
		}
	}
}

// recordStart checks a statement that a member begins to run against the one that was
// sent. The shape is that of the prepared statement on the member's connection s, else
// empty. It returns the statement's transaction, or nil if no caller sent the statement.
func (c *Checker) recordStart(s *memberSession, q ctpeer.Query, shape ctpeer.Shape) *Transaction {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if strings.ContainsRune(q.Text, '\n') {
		c.recordViolationLocked(InvariantOnlySent, "statement %q has the text %q, which can't be passed on", q.ID, q.Text)
	}
	sent, ok := c.sent[q.ID]
	if !ok {
		c.recordViolationLocked(InvariantOnlySent, "statement %q %q was not sent by any caller", q.ID, q.Text)
		return nil
	}
	sent.ran = true
	c.sent[q.ID] = sent
	c.checkPlaceLocked(s, q.ID, sent.tx)
	c.checkTextLocked(sent, q, shape)
	return sent.tx
}

// checkTextLocked checks that a member has received the text that was sent, byte for byte. A
// prepared statement may have another name but runs in the same shape. The caller holds the mutex.
func (c *Checker) checkTextLocked(sent sentStatement, q ctpeer.Query, shape ctpeer.Shape) {
	text, received := ctpeer.FormatStatement(sent.statement), q.Text
	if prepared, ok := sent.statement.(ctpeer.Execute); ok {
		if r, same := q.Statement.(ctpeer.Execute); same {
			text, received = prepared.Arguments, r.Arguments
		}
	}
	if text != received {
		c.recordViolationLocked(InvariantOnlySent, "statement %s was sent as %q and ran as %q", q.ID, text, received)
	}
	if shape != sent.shape {
		c.recordViolationLocked(InvariantIsolation, "statement %s ran %q where %q was prepared", q.ID, shape, sent.shape)
	}
}

// checkPlaceLocked checks that a statement runs in its session's group, and on the connection of
// its transaction's first statement. The caller holds the mutex.
func (c *Checker) checkPlaceLocked(s *memberSession, id ctquery.ID, tx *Transaction) {
	if s.group.name != tx.group {
		c.recordViolationLocked(InvariantRoute, "statement %s for %s ran in %s", id, tx.group, s.group.name)
	}
	if !tx.explicit {
		return
	}
	if !tx.place(id, s) {
		c.recordViolationLocked(InvariantIsolation, "statement %s ran on another connection than its transaction", id)
	}
}

// stuttered reports whether the member on whose connection a transaction runs has sent an answer
// twice there since a time.
func (c *Checker) stuttered(tx *Transaction, since time.Time) bool {
	c.mutex.Lock()
	connection := tx.connection
	c.mutex.Unlock()
	return connection != nil && connection.answers != nil && connection.answers.RepeatedSince(since)
}

// hasRun reports whether a member has begun to run a statement.
func (c *Checker) hasRun(id ctquery.ID) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.sent[id].ran
}

// recordRows adds rows of any text and a proof to the answer of a read, and records them as
// recordResult does. No other answer has the first row.
func (c *Checker) recordRows(id ctquery.ID, answer *ctpeer.Answer, visible []record) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	own := fmt.Sprintf("row-%d", c.proofCount)
	answer.Rows = []string{own + cttext.Field(c.random, ""), cttext.Field(c.random, own), ""}
	answer.Proof = c.recordResultLocked(id, answer.Rows, visible)
}

// recordResult records the result of a statement at a member: its rows and the visible part
// of the log, as described at execution. It checks that a read shows what it must, and returns a
// new proof for the answer.
func (c *Checker) recordResult(id ctquery.ID, rows []string, visible []record) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.recordResultLocked(id, rows, visible)
}

// recordResultLocked is recordResult for callers that hold the mutex.
func (c *Checker) recordResultLocked(id ctquery.ID, rows []string, visible []record) string {
	if e := c.sent[id].required.entry; e.number > 0 && !containsEntry(visible, e) {
		c.recordViolationLocked(InvariantFreshness, "statement %s saw %d entries without entry %d of term %d",
			id, len(visible), e.number, e.term)
	}
	c.proofCount++
	proof := fmt.Sprintf("mac-%d", c.proofCount)
	c.executions[proof] = execution{id: id, rows: rows, visible: visible}
	return proof
}

// ReadRequirement is the newest commit that a read must show. A zero entry requires none.
type ReadRequirement struct {
	group ctid.Group
	entry entryID
}

// requirement returns what a read that is sent now must show: the newest commit of the
// group that was acknowledged more than maxStaleness ago. If maxStaleness is 0, it is the
// commit that was acknowledged last, which is not always the one with the highest number.
func (c *Checker) requirement(group ctid.Group, maxStaleness time.Duration) ReadRequirement {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r := ReadRequirement{group: group}
	limit := time.Now().Add(-maxStaleness)
	acknowledged := c.groupOutcomes(group).acknowledged
	for i := len(acknowledged) - 1; i >= 0; i-- {
		a := acknowledged[i]
		if a.at.Before(limit) && a.entry.number > r.entry.number {
			r.entry = a.entry
			if maxStaleness == 0 {
				break
			}
		}
	}
	return r
}

// IncludeOwn raises the requirement to a session's own newest commit if that is newer.
func (r *ReadRequirement) IncludeOwn(own entryID) {
	if own.number > r.entry.number {
		r.entry = own
	}
}

// checkSuccess checks a successful answer: its proof and rows must be those of the
// statement's execution. It returns the newest entry that the statement saw, and whether the
// statement appended that entry.
func (c *Checker) checkSuccess(id ctquery.ID, answer ctpeer.Answer) (entryID, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r, ok := c.executions[answer.Proof]
	switch {
	case !ok || r.id != id:
		c.recordViolationLocked(InvariantProof, "statement %s succeeded with proof %q, which belongs to %q",
			id, answer.Proof, r.id)
		return entryID{}, false
	case !slices.Equal(r.rows, answer.Rows):
		c.recordViolationLocked(InvariantProof, "statement %s was answered with rows %q instead of %q",
			id, answer.Rows, r.rows)
	}
	if len(r.visible) == 0 {
		return entryID{}, false
	}
	last := r.visible[len(r.visible)-1]
	return last.entryID, last.commit == id
}

// containsEntry reports whether a log contains an entry.
func containsEntry(log []record, e entryID) bool {
	return e.number <= len(log) && log[e.number-1].entryID == e
}

// recordAcknowledged records that a caller has received a successful answer to a commit.
func (c *Checker) recordAcknowledged(group ctid.Group, e entryID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	outcomes := c.groupOutcomes(group)
	outcomes.acknowledged = append(outcomes.acknowledged, acknowledgement{at: time.Now(), entry: e})
}

// recordRefused records that a caller has received an answer by which nothing of a
// transaction was applied.
func (c *Checker) recordRefused(group ctid.Group, tx *Transaction) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	outcomes := c.groupOutcomes(group)
	outcomes.refused[tx] = true
	c.checkRefusedLocked(group, outcomes, tx)
}

// recordCommitted records that a member has appended a transaction to its log.
func (c *Checker) recordCommitted(group ctid.Group, tx *Transaction) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	outcomes := c.groupOutcomes(group)
	outcomes.committed[tx] = true
	c.checkRefusedLocked(group, outcomes, tx)
}

// checkRefusedLocked checks that a transaction is not both refused and committed. The caller holds
// the mutex.
func (c *Checker) checkRefusedLocked(group ctid.Group, outcomes *writeOutcomes, tx *Transaction) {
	if outcomes.refused[tx] && outcomes.committed[tx] {
		c.recordViolationLocked(InvariantRefusal, "%s: a transaction of %s was refused and committed", group, tx.session)
	}
}

// checkPromoted checks that the log of a promoted member contains all acknowledged commits.
func (c *Checker) checkPromoted(group ctid.Group, member ctid.Member, log []record) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.checkDurabilityLocked(group, string(member)+" was promoted", log)
}

// checkDurabilityLocked checks that a log contains all acknowledged commits of a group.
// The text in when says at which moment it was checked. The caller holds the mutex.
func (c *Checker) checkDurabilityLocked(group ctid.Group, when string, log []record) {
	missing := 0
	var first entryID
	for _, a := range c.groupOutcomes(group).acknowledged {
		if !containsEntry(log, a.entry) {
			if missing == 0 {
				first = a.entry
			}
			missing++
		}
	}
	if missing > 0 {
		c.recordViolationLocked(InvariantDurability,
			"%s, %s: %d acknowledged commits are missing, the first is entry %d of term %d",
			group, when, missing, first.number, first.term)
	}
}

// checkFinalLog checks a group's log after the run: it must contain all acknowledged
// commits, no refused transaction, and each write once at most.
func (c *Checker) checkFinalLog(group ctid.Group, log []record) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.checkDurabilityLocked(group, "at the end", log)
	outcomes := c.groupOutcomes(group)
	occurrences := make(map[ctquery.ID]int)
	for _, r := range log {
		if outcomes.refused[r.tx] {
			c.recordViolationLocked(InvariantRefusal, "%s: commit %s was refused but is in the log", group, r.commit)
		}
		for _, w := range r.writes {
			if occurrences[w]++; occurrences[w] == 2 {
				c.recordViolationLocked(InvariantAtMostOnce, "%s: write %s took effect twice", group, w)
			}
		}
	}
}
