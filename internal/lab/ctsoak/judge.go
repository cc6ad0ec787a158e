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
func (b Violation) String() string {
	return fmt.Sprintf("%7.3fs %s: %s", b.Elapsed.Seconds(), b.Invariant, b.Detail)
}

// maxBreaches is how many breaches are kept; a broken promise tends to break again.
const maxBreaches = 200

// Transaction is what is kept or dropped as one: a transaction, or a statement outside of
// any.
type Transaction struct {
	session string
	// transaction reports whether statements run between a begin and an end.
	transaction bool
	// asked is set when the caller has asked for the end that keeps it.
	asked bool
}

// expectation is a statement that a caller sent.
type expectation struct {
	block     *Transaction
	statement ctquery.Statement
	// shape is what a prepared statement is to do.
	shape ctquery.Shape
}

// run is a statement that a member ran, by its proof.
type run struct {
	id    ctquery.ID
	rows  []string
	shown []record
}

// Checker keeps what callers and members saw, and notes breaches.
type Checker struct {
	start time.Time

	mutex    sync.Mutex
	breaches []Violation
	expected map[ctquery.ID]expectation
	runs     map[string]run
	proofs   int
	groups   map[ctid.Group]*verdicts
}

// verdicts are what callers were told of a group's writes.
type verdicts struct {
	// acknowledged are the places in the log of what was acknowledged, in the order
	// of the answers.
	acknowledged []acknowledgement
	refused      map[*Transaction]bool
}

// acknowledgement is a commit that a caller was told of.
type acknowledgement struct {
	at    time.Time
	entry entry
}

// NewChecker returns a judge that has heard nothing.
func NewChecker() *Checker {
	return &Checker{
		start:    time.Now(),
		expected: make(map[ctquery.ID]expectation),
		runs:     make(map[string]run),
		groups:   make(map[ctid.Group]*verdicts),
	}
}

// Violations returns what was noted.
func (j *Checker) Violations() []Violation {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return append([]Violation(nil), j.breaches...)
}

// breach notes that a promise was broken.
func (j *Checker) breach(promise Invariant, format string, arguments ...any) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.noteLocked(promise, format, arguments...)
}

func (j *Checker) noteLocked(promise Invariant, format string, arguments ...any) {
	if len(j.breaches) < maxBreaches {
		j.breaches = append(j.breaches, Violation{
			Elapsed: time.Since(j.start), Invariant: promise, Detail: fmt.Sprintf(format, arguments...),
		})
	}
}

func (j *Checker) verdicts(group ctid.Group) *verdicts {
	v, ok := j.groups[group]
	if !ok {
		v = &verdicts{refused: make(map[*Transaction]bool)}
		j.groups[group] = v
	}
	return v
}

// expect hears that a caller sends a statement.
func (j *Checker) expect(q ctquery.Query, block *Transaction, shape ctquery.Shape) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.expected[q.ID] = expectation{block: block, statement: q.Statement, shape: shape}
	switch q.Statement.(type) {
	case ctquery.Commit:
		block.asked = true
	case ctquery.Write, ctquery.Execute:
		if !block.transaction {
			block.asked = true
		}
	}
}

// begins hears that a member begins to run a statement, with the shape of the one
// that is prepared on its connection. It returns the statement's block, or nil
// where nobody sent it.
func (j *Checker) begins(q ctquery.Query, shape ctquery.Shape) *Transaction {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	e, ok := j.expected[q.ID]
	if !ok {
		j.noteLocked(InvariantOnlySent, "statement %q %#v was sent by nobody", q.ID, q.Statement)
		return nil
	}
	sent, ran := e.statement, q.Statement
	if s, prepared := sent.(ctquery.Execute); prepared {
		r, same := ran.(ctquery.Execute)
		if !same || r.Arguments != s.Arguments {
			j.noteLocked(InvariantOnlySent, "statement %s was sent as %#v and ran as %#v", q.ID, sent, ran)
		} else if shape != e.shape {
			j.noteLocked(InvariantIsolation, "statement %s ran %+v where %+v was prepared", q.ID, shape, e.shape)
		}
		return e.block
	}
	if sent != ran {
		j.noteLocked(InvariantOnlySent, "statement %s was sent as %#v and ran as %#v", q.ID, sent, ran)
	}
	return e.block
}

// ends hears what a member answers, and returns the proof of it.
func (j *Checker) ends(id ctquery.ID, rows []string, shown []record) string {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.proofs++
	proof := fmt.Sprintf("mac-%d", j.proofs)
	j.runs[proof] = run{id: id, rows: rows, shown: shown}
	return proof
}

// ReadRequirement is what a read must show: the newest commit that its route demands.
type ReadRequirement struct {
	group ctid.Group
	entry entry
}

// demand returns what a read that is sent now must show, where it may miss what was
// acknowledged in the last stretch of time.
func (j *Checker) demand(group ctid.Group, stale time.Duration) ReadRequirement {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	d := ReadRequirement{group: group}
	limit := time.Now().Add(-stale)
	acknowledged := j.verdicts(group).acknowledged
	for i := len(acknowledged) - 1; i >= 0; i-- {
		a := acknowledged[i]
		if a.at.Before(limit) && a.entry.number > d.entry.number {
			d.entry = a.entry
			if stale == 0 {
				break
			}
		}
	}
	return d
}

// IncludeOwn adds a session's own newest commit to what a read must show.
func (d *ReadRequirement) IncludeOwn(own entry) {
	if own.number > d.entry.number {
		d.entry = own
	}
}

// success hears of an answer that a caller took for a success. It returns the entry
// of the log that the statement made, if it made one.
func (j *Checker) success(id ctquery.ID, answer ctquery.Answer, demand ReadRequirement) (entry, bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	r, ok := j.runs[answer.Proof]
	switch {
	case !ok || r.id != id:
		j.noteLocked(InvariantProof, "statement %s succeeded with the proof %q of %q", id, answer.Proof, r.id)
		return entry{}, false
	case fmt.Sprint(r.rows) != fmt.Sprint(answer.Rows):
		j.noteLocked(InvariantProof, "statement %s was answered %q for %q", id, answer.Rows, r.rows)
	}
	if n := demand.entry.number; n > 0 && !shows(r.shown, demand.entry) {
		j.noteLocked(InvariantFreshness, "statement %s showed %d entries without entry %d of term %d",
			id, len(r.shown), n, demand.entry.term)
	}
	if len(r.shown) == 0 {
		return entry{}, false
	}
	last := r.shown[len(r.shown)-1]
	return last.entry, last.commit == id
}

// shows reports whether a log holds an entry.
func shows(log []record, e entry) bool {
	return e.number <= len(log) && log[e.number-1].entry == e
}

// acknowledged hears that a caller was told of a commit.
func (j *Checker) acknowledged(group ctid.Group, e entry) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	v := j.verdicts(group)
	v.acknowledged = append(v.acknowledged, acknowledgement{at: time.Now(), entry: e})
}

// refused hears that a caller was told that nothing of a block is kept.
func (j *Checker) refused(group ctid.Group, block *Transaction) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.verdicts(group).refused[block] = true
}

// promoted checks that a log that leads from now on holds what was acknowledged.
func (j *Checker) promoted(group ctid.Group, member ctid.Member, log []record) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.checkKept(group, string(member)+" was promoted", log)
}

func (j *Checker) checkKept(group ctid.Group, when string, log []record) {
	missing := 0
	var first entry
	for _, a := range j.verdicts(group).acknowledged {
		if !shows(log, a.entry) {
			if missing == 0 {
				first = a.entry
			}
			missing++
		}
	}
	if missing > 0 {
		j.noteLocked(InvariantDurability, "%s, %s: %d acknowledged commits are missing, the first is entry %d of term %d",
			group, when, missing, first.number, first.term)
	}
}

// final checks the log that a group has at the end.
func (j *Checker) final(group ctid.Group, log []record) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.checkKept(group, "at the end", log)
	v := j.verdicts(group)
	times := make(map[ctquery.ID]int)
	for _, r := range log {
		if v.refused[r.block] {
			j.noteLocked(InvariantRefusal, "%s: commit %s was refused and is kept", group, r.commit)
		}
		for _, w := range r.writes {
			if times[w]++; times[w] == 2 {
				j.noteLocked(InvariantAtMostOnce, "%s: write %s took effect twice", group, w)
			}
		}
	}
}
