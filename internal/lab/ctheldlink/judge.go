package ctheldlink

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctholderjudge"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/platform/ctpeer"
)

// disturbanceWindow is how long after a hold or a pause of a proxy its commits at a replaced
// primary are not judged.
const disturbanceWindow = 300 * time.Millisecond

// Rule names a rule that the fleet must keep.
type Rule string

// The rules.
const (
	// RuleSharedEpoch: no two control processes send promotion requests with the same epoch.
	RuleSharedEpoch Rule = "shared_epoch"
	// RuleTurns: control processes that are not disturbed don't take turns within a lease.
	RuleTurns Rule = "turns"
	// RuleEpochOrder: the service receives no request for a group with a lower epoch than
	// one before. No disturbance excuses that.
	RuleEpochOrder Rule = "epoch_order"
	// RuleLost: the log of a promoted member has all commits that were acknowledged before.
	RuleLost Rule = "lost"
	// RuleOnePrimary: no commit at a replaced primary is acknowledged.
	RuleOnePrimary Rule = "one_primary"
	// RulePromise: a write whose caller was told that nothing is kept isn't committed.
	RulePromise Rule = "promise"
	// RuleTwice: no write takes effect twice.
	RuleTwice Rule = "twice"
	// RuleUnasked: members run the callers' statements unchanged, and no others that read or
	// write.
	RuleUnasked Rule = "unasked"
	// RuleMixed: a success carries a proof that a member made for this statement alone, and the
	// rows of that answer.
	RuleMixed Rule = "mixed"
	// RulePinned: the statements of a transaction run on one connection, and no others there.
	// All run with the values and in the shapes that were acknowledged to their session.
	RulePinned Rule = "pinned"
	// RuleStale: a read runs on a log with the commits that its route requires.
	RuleStale Rule = "stale"
	// RuleConfig: an acknowledged configuration is kept, and no older one is returned.
	RuleConfig Rule = "config"
	// RuleMalformed: a query that can't be passed on is answered so, once.
	RuleMalformed Rule = "malformed"
	// RuleRunning: no process ends by itself.
	RuleRunning Rule = "running"
)

// Violation is a broken rule.
type Violation struct {
	Rule Rule
	Text string
}

// commit is a commit at a member.
type commit struct {
	member ctid.Member
	point  ctposition.Point
	at     time.Time
	// latest is the group's latest term at that time.
	latest ctposition.Term
}

// Judge checks the rules. It is safe for concurrent use.
type Judge struct {
	logger zerolog.Logger
	// disturbed reports whether a process was disturbed since a time.
	disturbed func(process Host, since time.Time) bool
	// random draws rows. The mutex guards it.
	random *rand.Rand

	// mutex guards all fields below.
	mutex sync.Mutex
	// holders judges the promotion requests that the service has received.
	holders ctholderjudge.Judge
	// asked has all statements of callers, and acknowledgments the commits in the order of
	// their answers.
	asked map[ctquery.ID]*asked
	// results has the members' successful answers by their proofs.
	results         map[string]result
	acknowledgments []acknowledgment
	commits         map[ctquery.ID]commit
	acknowledged    map[ctquery.ID]time.Time
	promised        map[ctquery.ID]ctquery.Fault
	// lastAt is when a commit was last acknowledged.
	lastAt     time.Time
	longestGap time.Duration
	// lost has the acknowledged commits that a promotion has discarded.
	lost map[ctquery.ID]bool
	// replaced has the commits at primaries that were replaced before.
	replaced   map[ctquery.ID]bool
	violations []Violation
}

func newJudge(logger zerolog.Logger, disturbed func(Host, time.Time) bool, seed uint64) *Judge {
	j := &Judge{
		logger: logger, disturbed: disturbed, commits: make(map[ctquery.ID]commit),
		acknowledged: make(map[ctquery.ID]time.Time), promised: make(map[ctquery.ID]ctquery.Fault),
		lost: make(map[ctquery.ID]bool), replaced: make(map[ctquery.ID]bool), asked: make(map[ctquery.ID]*asked),
		results: make(map[string]result), random: rand.New(rand.NewPCG(seed, 0)),
	}
	j.holders.InTouch = j.inTouch
	return j
}

// Violations returns the violations so far.
func (j *Judge) Violations() []Violation {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return append([]Violation(nil), j.violations...)
}

// Acknowledged returns how many commits were acknowledged.
func (j *Judge) Acknowledged() int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return len(j.acknowledged)
}

// AcknowledgedSince returns how many commits of a term and later ones were acknowledged.
func (j *Judge) AcknowledgedSince(term ctposition.Term) int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	count := 0
	for id := range j.acknowledged {
		if j.commits[id].point.Term >= term {
			count++
		}
	}
	return count
}

// LongestGap returns the longest time between two acknowledged commits.
func (j *Judge) LongestGap() time.Duration {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.longestGap
}

// violate records a violation. The caller has locked the mutex.
func (j *Judge) violate(rule Rule, format string, arguments ...any) {
	v := Violation{Rule: rule, Text: fmt.Sprintf(format, arguments...)}
	j.violations = append(j.violations, v)
	j.logger.Error().Str("event", "violation").Str("rule", string(rule)).Str("text", v.Text).Send()
}

// recordCommit records a commit at a member.
func (j *Judge) recordCommit(id ctquery.ID, c commit) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.commits[id] = c
}

// recordAnswer records a proxy's answer to a statement. commits says whether a success
// acknowledges a commit.
func (j *Judge) recordAnswer(id ctquery.ID, answer ctpeer.Answer, commits bool) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if answer.Fault.NotRun() || answer.Fault == ctquery.FaultAborted {
		j.promised[id] = answer.Fault
	}
	if answer.Fault == ctquery.FaultNoStatement && j.asked[id].shape != (ctpeer.Shape{}) {
		j.violate(RulePinned, "%s doesn't know a prepared statement of %s", j.asked[id].session.proxy, id)
	}
	if !answer.OK() {
		return
	}
	j.checkAnswer(id, answer)
	if commits {
		j.acknowledge(id)
	}
}

// acknowledge records that a commit is acknowledged. The caller has locked the mutex.
func (j *Judge) acknowledge(id ctquery.ID) {
	session, now := j.asked[id].session, time.Now()
	if !j.lastAt.IsZero() {
		j.longestGap = max(j.longestGap, now.Sub(j.lastAt))
	}
	j.acknowledged[id], j.lastAt = now, now
	j.acknowledgments = append(j.acknowledgments, acknowledgment{id: id, session: session, at: now})
	c := j.commits[id]
	j.replaced[id] = c.point.Term < c.latest
	if j.replaced[id] && !j.disturbed(session.proxy, c.at.Add(-disturbanceWindow)) {
		j.violate(RuleOnePrimary, "%s acknowledged %s, committed at %s at %s after the start of term %d",
			session.proxy, id, c.member, c.point, c.latest)
	}
}

// recordPromotion compares the log of a member that now is promoted with the commits that
// were acknowledged. others has the logs of the group's other members.
func (j *Judge) recordPromotion(p promotion, log []entry, others [][]entry) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	kept, known := idsOf(log), idsOf(others...)
	missing := 0
	for id, at := range j.acknowledged {
		if kept[id] || j.lost[id] {
			continue
		}
		j.lost[id] = true
		missing++
		c := j.commits[id]
		j.violate(RuleLost, "promotion of %s by %s, epoch %d, called %s before: its log lacks commit %s of %s at %s, "+
			"acknowledged %s before; another member has it: %t", p.member, p.requester, p.epoch, since(p.calledAt),
			id, c.member, c.point, since(at), known[id])
	}
	j.logger.Info().Str("event", "promoted").Str("member", string(p.member)).Uint64("term", uint64(p.term)).
		Str("requester", p.requester).Uint64("epoch", uint64(p.epoch)).Int("entries", len(log)).
		Int("acknowledged", len(j.acknowledged)).Int("lost", missing).Send()
}

// since returns the time since a moment in whole milliseconds.
func since(at time.Time) time.Duration {
	return time.Since(at).Round(time.Millisecond)
}

// idsOf returns the IDs of the commits in logs.
func idsOf(logs ...[]entry) map[ctquery.ID]bool {
	ids := make(map[ctquery.ID]bool)
	for _, log := range logs {
		for _, e := range log {
			ids[e.id] = true
		}
	}
	return ids
}

// checkLog checks the last log: it has the acknowledged commits, no write twice, and none
// whose caller was told that nothing is kept.
func (j *Judge) checkLog(log []entry) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	kept := idsOf(log)
	for id := range j.acknowledged {
		if !kept[id] && !j.lost[id] && !j.replaced[id] {
			j.violate(RuleLost, "the last log lacks %s of %s at %s", id, j.commits[id].member, j.commits[id].point)
		}
	}
	written := make(map[ctquery.ID]bool)
	for _, e := range log {
		for _, id := range e.writes {
			if written[id] {
				j.violate(RuleTwice, "%s is written twice", id)
			}
			written[id] = true
			kept[id] = true
		}
	}
	for id, fault := range j.promised {
		if kept[id] {
			j.violate(RulePromise, "%s was answered with %s and is committed", id, fault)
		}
	}
}

// check records a violation unless a rule is kept.
func (j *Judge) check(kept bool, rule Rule, format string, arguments ...any) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if !kept {
		j.violate(rule, format, arguments...)
	}
}
