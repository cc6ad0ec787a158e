package ctdiskloss

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Bounds of the platform's contract.
const (
	// CatchUp is the time after which a process that came back with an empty disk counts no more as lost.
	CatchUp = 6 * time.Second
	// AckTimeout is how long control may take to acknowledge a change.
	AckTimeout = 8 * time.Second
	// RecoverTimeout is how long after the last fault callers are served again.
	RecoverTimeout = 15 * time.Second
)

// downTime is how long processes are down.
const downTime = time.Second

// Run plays a plan and returns the broken rules. An error means that the run could not go on.
func (s *System) Run(ctx context.Context, plan Plan) ([]Violation, error) {
	if err := s.moveLead(ctx); err != nil {
		return s.violations, err
	}
	for i, loss := range plan.Losses {
		lost := plan.selectVictims(loss.Victims, s.controls, s.leader(), i+1)
		for _, p := range lost {
			p.lostAt = i + 1
		}
		isLast := i == len(plan.Losses)-1
		s.logStep(loss, lost, isLast)
		down := lost
		if isLast {
			down = s.processes()
		}
		s.judgeProcesses()
		if err := s.strike(ctx, loss, lost, down); err != nil {
			return s.violations, err
		}
		if isLast {
			s.judgeRecovery(ctx)
			s.judgeChange(ctx)
			s.judgeProcesses()
			continue
		}
		s.judgeJoins(ctx)
	}
	return s.violations, nil
}

// strike publishes a change, kills processes right after its acknowledgement and starts them again, some
// with empty disks. Some of these are replaced.
func (s *System) strike(ctx context.Context, loss Loss, lost, down []*process) error {
	s.judgeChange(ctx)
	kill(down)
	started := slices.Clone(down)
	replaced := 0
	for _, p := range lost {
		if err := p.loseDisk(); err != nil {
			return err
		}
		if replaced < loss.Replaced && !p.isSeed {
			replaced++
			started[slices.Index(started, p)] = s.replace(p)
		}
	}
	sleep(ctx, downTime)
	for _, p := range started {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// kill kills processes at the same moment, as nearly as possible.
func kill(processes []*process) {
	done := make(chan struct{})
	for _, p := range processes {
		go func() {
			p.Kill()
			done <- struct{}{}
		}()
	}
	for range processes {
		<-done
	}
}

// moveLead restarts leaders that are seeds until another control process leads, so that no seed can answer
// for the leader when seeds lose their disks. It returns when the restarts count no more as losses.
func (s *System) moveLead(ctx context.Context) error {
	const attempts = 12
	for range attempts {
		var leader *process
		if !await(ctx, func(context.Context) bool { leader = s.leader(); return leader != nil }) {
			return errors.Errorf("no control process led in %s", startTimeout)
		}
		if !leader.isSeed {
			s.judgeJoins(ctx)
			return nil
		}
		leader.Kill()
		if !await(ctx, func(context.Context) bool { return s.leader() != nil }) {
			return errors.Errorf("no other control process led in %s", startTimeout)
		}
		if err := leader.start(); err != nil {
			return err
		}
	}
	return errors.New("only seeds led")
}

// leader returns the running control process that leads, or nil.
func (s *System) leader() *process {
	for _, c := range s.controls {
		if v, err := c.view(); err == nil && v.leader == c.peer() && c.Running() {
			return c
		}
	}
	return nil
}

// logStep logs which processes a loss strikes.
func (s *System) logStep(loss Loss, lost []*process, allPower bool) {
	var names []string
	for _, p := range lost {
		names = append(names, p.Name)
	}
	leader := ""
	if l := s.leader(); l != nil {
		leader = l.Name
	}
	s.Logger.Info().Str("event", "disks_lost").Str("victims", fmt.Sprintf("%T", loss.Victims)).
		Int("replaced", loss.Replaced).Strs("processes", names).
		Int("stalls", s.stalls.stallCount()).Str("leader", leader).Bool("all_power", allPower).Send()
}
