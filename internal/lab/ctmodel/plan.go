package ctmodel

import (
	"fmt"
	"time"
)

// Plan is what a run simulates.
type Plan struct {
	// Seed determines all that happens.
	Seed uint64
	// Faults is how long faults begin, and Recovery how long the run goes on after all of
	// them have ended.
	Faults   time.Duration
	Recovery time.Duration
	// LostLogs lets replicas lose their logs, too.
	LostLogs bool
}

// Duration of the phases of a run.
const (
	defaultFaults = 90 * time.Second
	// defaultRecovery is the time within which a group has to be available again. It
	// exceeds the time after which a leader takes an earlier leader's request for ended.
	defaultRecovery = 90 * time.Second
)

// NewPlan returns the plan of a seed.
func NewPlan(seed uint64) Plan {
	return Plan{Seed: seed, Faults: defaultFaults, Recovery: defaultRecovery}
}

// Rule is an invariant.
type Rule string

// The invariants.
const (
	// RuleLost: a promoted log has each commit that was acknowledged before.
	RuleLost Rule = "promoted log lacks an acknowledged commit"
	// RuleLate: a commit that the latest promoted log lacks is not acknowledged.
	RuleLate Rule = "acknowledged commit is missing in the log promoted last"
	// RuleStale: a read sees each commit that was acknowledged before it was sent.
	RuleStale Rule = "read lacks an acknowledged commit"
	// RuleReplaced: a commit made after a later promotion took effect is not acknowledged.
	RuleReplaced Rule = "acknowledged commit was made at a replaced primary"
	// RuleHolder: all requests of an epoch are of one holder.
	RuleHolder Rule = "two holders request promotions with the same epoch"
	// RuleTurns: two holders that are in touch don't take turns within a lease.
	RuleTurns Rule = "two holders request promotions within a lease"
	// RuleOrder: the service sees no lower epoch than it has seen before.
	RuleOrder Rule = "request with a lower epoch than one before"
	// RuleLive: commits are acknowledged again after the last fault has ended.
	RuleLive Rule = "no commits after all faults have ended"
)

// Violation is an invariant that a run violated.
type Violation struct {
	Rule   Rule
	At     time.Duration
	Detail string
}

// String describes the violation.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s", v.At, v.Rule, v.Detail)
}

// Report is the result of a run.
type Report struct {
	// Violations lists the first violation of each rule.
	Violations []Violation
	// Acknowledged and Indoubt count the commits by what their callers were told.
	Acknowledged, Indoubt int
	// Reads counts the reads that ran.
	Reads int
	// Promotions counts those that took effect, and Unrequested those of a member that
	// control did not wait for.
	Promotions, Unrequested int
	// Leaders counts the leaders of control.
	Leaders int
	// RecoveredAfter is the time from the end of all faults to the next acknowledged
	// commit.
	RecoveredAfter time.Duration
	// LongestGap is the longest time between two acknowledged commits.
	LongestGap time.Duration
	// Trace lists the events of the run in order.
	Trace []string
}
