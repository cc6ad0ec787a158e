package ctdiskloss

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// Rule names a rule. The package comment says what each requires.
type Rule string

// The rules.
const (
	RuleJoin   Rule = "join"
	RuleConfig Rule = "config"
	RuleServed Rule = "served"
	RuleRuns   Rule = "runs"
)

// Violation is a broken rule.
type Violation struct {
	Rule Rule
	Text string
}

func (s *System) check(kept bool, rule Rule, format string, arguments ...any) {
	if kept {
		return
	}
	v := Violation{Rule: rule, Text: fmt.Sprintf(format, arguments...)}
	s.violations = append(s.violations, v)
	s.Logger.Error().Str("event", "violation").Str("rule", string(v.Rule)).Str("text", v.Text).Send()
}

// judgeChange publishes a change, which must be acknowledged in time.
func (s *System) judgeChange(ctx context.Context) {
	send := s.operator.newChange()
	acknowledged := s.stalls.await(ctx, time.Now(), AckTimeout, func(ctx context.Context) bool {
		return send(ctx, s.controls)
	})
	s.check(acknowledged, RuleConfig, "release %d was not acknowledged in %s", s.operator.newest, AckTimeout)
}

// judgeJoins waits until CatchUp has passed since the last start. All control processes must have joined
// by then.
func (s *System) judgeJoins(ctx context.Context) {
	var last time.Time
	for _, c := range s.controls {
		if c.startedAt.After(last) {
			last = c.startedAt
		}
	}
	joined := s.stalls.await(ctx, last, CatchUp, func(context.Context) bool { return s.unjoined() == "" })
	s.check(joined, RuleJoin, "%s after the last start: %s", CatchUp, s.unjoined())
	sleep(ctx, time.Until(s.stalls.deadline(last, CatchUp)))
}

// judgeRecovery judges the system after the last fault.
func (s *System) judgeRecovery(ctx context.Context) {
	served := s.awaitEach(ctx, s.proxies, func(ctx context.Context, p *process) bool { return p.serves(ctx) })
	read := s.awaitEach(ctx, s.controls, s.operator.readsBack)
	for _, p := range s.proxies {
		s.check(<-served[p], RuleServed, "%s serves nobody %s after the last fault", p.Name, RecoverTimeout)
	}
	for _, c := range s.controls {
		s.check(<-read[c], RuleConfig, "%s does not return release %d %s after the last fault",
			c.Name, s.operator.acknowledged, RecoverTimeout)
	}
}

// judgeProcesses checks that all processes run and have logged no failure of their own.
func (s *System) judgeProcesses() {
	for _, p := range s.processes() {
		s.check(p.Running(), RuleRuns, "%s has ended by itself", p.Name)
		log, err := os.ReadFile(p.LogFile)
		s.check(err == nil, RuleRuns, "the log of %s can't be read: %v", p.Name, err)
		for _, marker := range []string{"panic:", "fatal error:", "DATA RACE"} {
			s.check(!bytes.Contains(log, []byte(marker)), RuleRuns, "the log of %s has %q", p.Name, marker)
		}
	}
}

// awaitEach waits for a condition of each process, and sends on the process's channel whether it was reached
// in RecoverTimeout.
func (s *System) awaitEach(
	ctx context.Context, processes []*process, reached func(context.Context, *process) bool,
) map[*process]chan bool {
	begin := time.Now()
	outcomes := make(map[*process]chan bool, len(processes))
	for _, p := range processes {
		outcome := make(chan bool, 1)
		outcomes[p] = outcome
		go func() {
			outcome <- s.stalls.await(ctx, begin, RecoverTimeout, func(ctx context.Context) bool { return reached(ctx, p) })
		}()
	}
	return outcomes
}

// unjoined says what is missing for all control processes to count again, or returns an empty text.
func (s *System) unjoined() string {
	views := make(map[ctid.Control]view, len(s.controls))
	leader := ctid.Control("")
	for _, c := range s.controls {
		v, err := c.view()
		if err != nil {
			return err.Error()
		}
		views[c.peer()] = v
		if v.leader == c.peer() {
			leader = v.leader
		}
	}
	return missing(views, leader)
}

// missing is unjoined for what the control processes have logged. leader is the one that leads, or empty.
func missing(views map[ctid.Control]view, leader ctid.Control) string {
	if leader == "" {
		return "no control process leads"
	}
	var present []ctquorum.Peer
	for name, v := range views {
		if v.leader != leader {
			return fmt.Sprintf("%s follows %q, and %s leads", name, v.leader, leader)
		}
		present = append(present, v.self)
	}
	voters := views[leader].voters
	count := 0
	for _, v := range voters {
		if slices.Contains(present, v) {
			count++
		}
	}
	if 2*(count-maxDiskLosses) <= len(voters) {
		return fmt.Sprintf("%d of %d voters have their disks, and %d more losses leave no majority",
			count, len(voters), maxDiskLosses)
	}
	return ""
}
