package ctsoak

import (
	"fmt"
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

// Invariant names what must hold.
type Invariant string

// The promises.
const (
	// InvariantOnlySent: members run what callers sent, and nothing else.
	InvariantOnlySent Invariant = "asked"
	// InvariantIsolation: a transaction and a session's state stay with their caller.
	InvariantIsolation Invariant = "pinned"
	// InvariantProof: a success carries the rows and the proof of the member that ran it.
	InvariantProof Invariant = "proof"
	// InvariantFreshness: a read shows every commit that its route demands.
	InvariantFreshness Invariant = "fresh"
	// InvariantDurability: a commit that was acknowledged stays.
	InvariantDurability Invariant = "kept"
	// InvariantAtMostOnce: a write takes effect once.
	InvariantAtMostOnce Invariant = "once"
	// InvariantRefusal: nothing is kept of what was refused as not run.
	InvariantRefusal Invariant = "refusal"
	// InvariantSinglePromoter: promotions come from one holder at a time, in rising epochs.
	InvariantSinglePromoter Invariant = "one_primary"
	// InvariantConfig: an acknowledged configuration stays, and no process goes back.
	InvariantConfig Invariant = "config"
	// InvariantTimelyAnswer: a statement is answered in time.
	InvariantTimelyAnswer Invariant = "answer"
	// InvariantNoExit: processes end only when they are told to.
	InvariantNoExit Invariant = "runs"
	// InvariantRecovery: callers are served again after the faults.
	InvariantRecovery Invariant = "recovery"
)

// Violation is a promise that was broken.
type Violation struct {
	Elapsed   time.Duration `json:"after"`
	Invariant Invariant     `json:"promise"`
	Detail    string        `json:"what"`
}

// String renders the breach for people.
func (v Violation) String() string {
	return fmt.Sprintf("%7.3fs %s: %s", v.Elapsed.Seconds(), v.Invariant, v.Detail)
}

// maxViolations is how many breaches are kept; a broken promise tends to break again.
const maxViolations = 200

// Transaction is what is kept or dropped as one: a transaction, or a statement outside of
// any.
type Transaction struct {
	session string
	// explicit reports whether statements run between a begin and an end.
	explicit bool
	// commitRequested is set when the caller has asked for the end that keeps it.
	commitRequested bool
}

// sentStatement is a statement that a caller sent.
type sentStatement struct {
	tx        *Transaction
	statement ctquery.Statement
	// shape is what a prepared statement is to do.
	shape ctquery.Shape
}

// execution is a statement that a member ran, by its proof.
type execution struct {
	id      ctquery.ID
	rows    []string
	visible []record
}

// Checker keeps what callers and members saw, and notes breaches.
type Checker struct {
	start time.Time

	mutex      sync.Mutex
	violations []Violation
	sent       map[ctquery.ID]sentStatement
	executions map[string]execution
	proofCount int
	outcomes   map[ctid.Group]*writeOutcomes
}

// writeOutcomes are what callers were told of a group's writes.
type writeOutcomes struct {
	// acknowledged are the places in the log of what was acknowledged, in the order
	// of the answers.
	acknowledged []acknowledgement
	refused      map[*Transaction]bool
}

// acknowledgement is a commit that a caller was told of.
type acknowledgement struct {
	at    time.Time
	entry entryID
}

// NewChecker returns a judge that has heard nothing.
func NewChecker() *Checker {
	return &Checker{
		start:      time.Now(),
		sent:       make(map[ctquery.ID]sentStatement),
		executions: make(map[string]execution),
		outcomes:   make(map[ctid.Group]*writeOutcomes),
	}
}

// Violations returns what was noted.
func (c *Checker) Violations() []Violation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]Violation(nil), c.violations...)
}

// recordViolation notes that a promise was broken.
func (c *Checker) recordViolation(invariant Invariant, format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.recordViolationLocked(invariant, format, arguments...)
}

func (c *Checker) recordViolationLocked(invariant Invariant, format string, arguments ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{
			Elapsed: time.Since(c.start), Invariant: invariant, Detail: fmt.Sprintf(format, arguments...),
		})
	}
}

func (c *Checker) groupOutcomes(group ctid.Group) *writeOutcomes {
	outcomes, ok := c.outcomes[group]
	if !ok {
		outcomes = &writeOutcomes{refused: make(map[*Transaction]bool)}
		c.outcomes[group] = outcomes
	}
	return outcomes
}

// recordSent hears that a caller sends a statement.
func (c *Checker) recordSent(q ctquery.Query, tx *Transaction, shape ctquery.Shape) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sent[q.ID] = sentStatement{tx: tx, statement: q.Statement, shape: shape}
	switch q.Statement.(type) {
	case ctquery.Commit:
		tx.commitRequested = true
	case ctquery.Write, ctquery.Execute:
		if !tx.explicit {
			tx.commitRequested = true
		}
	}
}

// recordStart hears that a member begins to run a statement, with the shape of the one
// that is prepared on its connection. It returns the statement's block, or nil
// where nobody sent it.
func (c *Checker) recordStart(q ctquery.Query, shape ctquery.Shape) *Transaction {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	e, ok := c.sent[q.ID]
	if !ok {
		c.recordViolationLocked(InvariantOnlySent, "statement %q %#v was sent by nobody", q.ID, q.Statement)
		return nil
	}
	sentAs, ranAs := e.statement, q.Statement
	if s, prepared := sentAs.(ctquery.Execute); prepared {
		r, same := ranAs.(ctquery.Execute)
		if !same || r.Arguments != s.Arguments {
			c.recordViolationLocked(InvariantOnlySent, "statement %s was sent as %#v and ran as %#v", q.ID, sentAs, ranAs)
		} else if shape != e.shape {
			c.recordViolationLocked(InvariantIsolation, "statement %s ran %+v where %+v was prepared", q.ID, shape, e.shape)
		}
		return e.tx
	}
	if sentAs != ranAs {
		c.recordViolationLocked(InvariantOnlySent, "statement %s was sent as %#v and ran as %#v", q.ID, sentAs, ranAs)
	}
	return e.tx
}

// recordResult hears what a member answers, and returns the proof of it.
func (c *Checker) recordResult(id ctquery.ID, rows []string, visible []record) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.proofCount++
	proof := fmt.Sprintf("mac-%d", c.proofCount)
	c.executions[proof] = execution{id: id, rows: rows, visible: visible}
	return proof
}

// ReadRequirement is what a read must show: the newest commit that its route demands.
type ReadRequirement struct {
	group ctid.Group
	entry entryID
}

// requirement returns what a read that is sent now must show, where it may miss what was
// acknowledged in the last stretch of time.
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

// IncludeOwn adds a session's own newest commit to what a read must show.
func (r *ReadRequirement) IncludeOwn(own entryID) {
	if own.number > r.entry.number {
		r.entry = own
	}
}

// checkSuccess hears of an answer that a caller took for a success. It returns the entry
// of the log that the statement made, if it made one.
func (c *Checker) checkSuccess(id ctquery.ID, answer ctquery.Answer, required ReadRequirement) (entryID, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r, ok := c.executions[answer.Proof]
	switch {
	case !ok || r.id != id:
		c.recordViolationLocked(InvariantProof, "statement %s succeeded with the proof %q of %q", id, answer.Proof, r.id)
		return entryID{}, false
	case fmt.Sprint(r.rows) != fmt.Sprint(answer.Rows):
		c.recordViolationLocked(InvariantProof, "statement %s was answered %q for %q", id, answer.Rows, r.rows)
	}
	if n := required.entry.number; n > 0 && !containsEntry(r.visible, required.entry) {
		c.recordViolationLocked(InvariantFreshness, "statement %s showed %d entries without entry %d of term %d",
			id, len(r.visible), n, required.entry.term)
	}
	if len(r.visible) == 0 {
		return entryID{}, false
	}
	last := r.visible[len(r.visible)-1]
	return last.entryID, last.commit == id
}

// containsEntry reports whether a log holds an entry.
func containsEntry(log []record, e entryID) bool {
	return e.number <= len(log) && log[e.number-1].entryID == e
}

// recordAcknowledged hears that a caller was told of a commit.
func (c *Checker) recordAcknowledged(group ctid.Group, e entryID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	outcomes := c.groupOutcomes(group)
	outcomes.acknowledged = append(outcomes.acknowledged, acknowledgement{at: time.Now(), entry: e})
}

// recordRefused hears that a caller was told that nothing of a block is kept.
func (c *Checker) recordRefused(group ctid.Group, tx *Transaction) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.groupOutcomes(group).refused[tx] = true
}

// checkPromoted checks that a log that leads from now on holds what was acknowledged.
func (c *Checker) checkPromoted(group ctid.Group, member ctid.Member, log []record) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.checkDurabilityLocked(group, string(member)+" was promoted", log)
}

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

// checkFinalLog checks the log that a group has at the end.
func (c *Checker) checkFinalLog(group ctid.Group, log []record) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.checkDurabilityLocked(group, "at the end", log)
	v := c.groupOutcomes(group)
	occurrences := make(map[ctquery.ID]int)
	for _, r := range log {
		if v.refused[r.tx] {
			c.recordViolationLocked(InvariantRefusal, "%s: commit %s was refused and is kept", group, r.commit)
		}
		for _, w := range r.writes {
			if occurrences[w]++; occurrences[w] == 2 {
				c.recordViolationLocked(InvariantAtMostOnce, "%s: write %s took effect twice", group, w)
			}
		}
	}
}
