package ctsoak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// Options are the settings of Run.
type Options struct {
	Plan Plan
	// BinFolder is the folder with the program cherviltrestle. Folder receives the
	// settings, data and logs of the processes.
	BinFolder string
	Folder    string
	Logger    zerolog.Logger
}

// Report is the result of a run. Attempted and Served count operations of callers.
type Report struct {
	Seed       uint64      `json:"seed"`
	Shape      Shape       `json:"shape"`
	Faults     int         `json:"faults"`
	Attempted  int64       `json:"asked"`
	Served     int64       `json:"served"`
	Commits    int         `json:"commits"`
	Violations []Violation `json:"breaches"`
}

// Phases of a run and its final checks.
const (
	// warmUpTimeout is how long the fleet may take from its start to the first
	// configuration at a proxy.
	warmUpTimeout = 15 * time.Second
	// recoveryGrace is how long the fleet may take to recover after the last fault.
	recoveryGrace = 12 * time.Second
	// checkWindow is the time after recoveryGrace in which callers must be served.
	checkWindow = 5 * time.Second
	// watchInterval is the pause between two checks for processes that have exited, and
	// between two probes during the warm-up.
	watchInterval = 100 * time.Millisecond
	// minServedOneIn is the divisor of the share of operations that must be served in
	// checkWindow: one in four.
	minServedOneIn = 4
)

// soak is the state of one run.
type soak struct {
	Options
	fleet    *Fleet
	checker  *Checker
	operator *operator
	balancer *balancer
	counters map[ctid.Database]*operationCounter
	workers  sync.WaitGroup
}

// Run starts a fleet, injects the faults of the plan under traffic, and runs the final
// checks. It returns an error if the fleet doesn't start or ctx ends before the checks;
// violations of invariants are in the report.
func Run(ctx context.Context, options Options) (Report, error) {
	checker := NewChecker(options.Plan.Seed)
	fleet, err := NewFleet(options.Plan, options.Folder, options.BinFolder, checker)
	if err != nil {
		return Report{}, err
	}
	defer fleet.Close()
	parent := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := fleet.Start(ctx); err != nil {
		return Report{}, err
	}
	s := &soak{
		Options: options, fleet: fleet, checker: checker,
		operator: newOperator(fleet, newRandom(options.Plan.Seed, 1)),
		balancer: &balancer{proxies: fleet.proxies, checker: checker},
		counters: make(map[ctid.Database]*operationCounter),
	}
	if err := s.warmUp(ctx); err != nil {
		return Report{}, err
	}
	s.perform(ctx)
	return s.report(), errors.Wrap(parent.Err(), "the run was cancelled before its final checks")
}

// holdStream is the stream of the random numbers of the plan's faults of promotion requests.
const holdStream = 4

// rowStream is the stream of the random numbers of members' rows.
const rowStream = 5

// newRandom returns a random generator that is independent for each stream of a seed.
func newRandom(seed, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream))
}

// warmUp publishes the first configuration and waits until the first proxy uses it.
func (s *soak) warmUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmUpTimeout)
	defer cancel()
	release := s.operator.nextRelease()
	if !s.operator.publish(ctx, release) {
		return errors.New("the first configuration was not acknowledged")
	}
	for !s.operator.probeRelease(ctx, s.fleet.proxies[0], release) {
		if ctx.Err() != nil {
			return errors.New("the first configuration did not take effect at the first proxy")
		}
		sleep(ctx, watchInterval)
	}
	return s.fleet.ClearFirstStart()
}

// perform runs callers, configuration changes and faults. It then waits for recovery and
// runs the final checks.
func (s *soak) perform(ctx context.Context) {
	callCtx, stopCalls := context.WithCancel(ctx)
	changeCtx, stopChanges := context.WithCancel(ctx)
	defer stopChanges()
	defer stopCalls()
	s.startWorker(func() { s.balancer.run(callCtx) })
	s.startWorker(func() { s.operator.run(changeCtx, newRandom(s.Plan.Seed, 3)) })
	s.startWorker(func() { s.operator.probeReleases(callCtx, newRandom(s.Plan.Seed, 2)) })
	s.startWorker(func() { s.watchProcesses(callCtx) })
	s.startCallers(callCtx)
	faultCtx, stopFaults := context.WithTimeout(ctx, s.Plan.FaultDuration+2*maxFaultDuration+stopTimeout)
	(&injector{fleet: s.fleet, logger: s.Logger}).run(faultCtx)
	stopFaults()
	s.Logger.Info().Str("event", "faults_over").Send()
	sleep(ctx, recoveryGrace)
	before := s.operationCounts()
	stopChanges()
	sleep(ctx, checkWindow)
	s.checkServed(before)
	s.checkConfig(ctx)
	stopCalls()
	s.workers.Wait()
	for _, g := range s.fleet.groups {
		s.checker.checkFinalLog(g.name, g.newestLog())
	}
	s.checkLogs()
}

// failureMarkers are texts that the Go runtime writes when a process fails.
var failureMarkers = []string{"WARNING: DATA RACE", "panic: ", "fatal error: "}

// checkLogs checks that no process log contains a failure of the Go runtime.
func (s *soak) checkLogs() {
	for _, h := range s.fleet.processHosts() {
		text, err := os.ReadFile(h.process.LogFile)
		if err != nil {
			s.checker.recordViolation(InvariantNoExit, "the log of %s can't be read: %v", h.Host, err)
			continue
		}
		for _, marker := range failureMarkers {
			if bytes.Contains(text, []byte(marker)) {
				s.checker.recordViolation(InvariantNoExit, "%s wrote %q", h.Host, marker)
			}
		}
	}
}

// startWorker runs a function in a goroutine that perform waits for at the end.
func (s *soak) startWorker(run func()) {
	s.workers.Add(1)
	go func() {
		defer s.workers.Done()
		run()
	}()
}

// startCallers starts the callers, evenly spread over the databases.
func (s *soak) startCallers(ctx context.Context) {
	for i := range s.Plan.Shape.Callers {
		g := s.fleet.groups[i%len(s.fleet.groups)]
		f := freshness(i / len(s.fleet.groups) % int(freshnessCount))
		name := databaseName(g.name, f)
		if s.counters[name] == nil {
			s.counters[name] = &operationCounter{}
		}
		c := &caller{
			name: fmt.Sprintf("c%02d", i), fleet: s.fleet, balancer: s.balancer, group: g, freshness: f,
			counter: s.counters[name], random: newRandom(s.Plan.Seed, uint64(100+i)),
		}
		s.startWorker(func() { c.run(ctx) })
	}
}

// watchProcesses records a violation for each process that exits on its own, and starts
// it again.
func (s *soak) watchProcesses(ctx context.Context) {
	for ctx.Err() == nil {
		for _, h := range s.fleet.processHosts() {
			h.mutex.Lock()
			ended := h.shouldRun && !h.process.Running()
			h.mutex.Unlock()
			if ended {
				s.checker.recordViolation(InvariantNoExit, "%s exited on its own", h.Host)
				_ = h.start()
			}
		}
		sleep(ctx, watchInterval)
	}
}

// operationCount is how many operations callers attempted, and how many were served.
type operationCount struct {
	attempted, served int64
}

// operationCounts returns the present counts of all databases.
func (s *soak) operationCounts() map[ctid.Database]operationCount {
	counts := make(map[ctid.Database]operationCount)
	for name, counter := range s.counters {
		counts[name] = operationCount{attempted: counter.attempted.Load(), served: counter.served.Load()}
	}
	return counts
}

// checkServed checks that one in minServedOneIn operations on each database, and one at
// least, was served since the counts in before.
func (s *soak) checkServed(before map[ctid.Database]operationCount) {
	for name, now := range s.operationCounts() {
		attempted, served := now.attempted-before[name].attempted, now.served-before[name].served
		s.Logger.Info().Str("event", "recovered").Str("database", string(name)).
			Int64("asked", attempted).Int64("served", served).Send()
		if served*minServedOneIn < attempted || served == 0 {
			s.checker.recordViolation(InvariantRecovery, "%s: %d of %d operations were served after recovery",
				name, served, attempted)
		}
	}
}

// checkConfig checks that every control process returns its configuration, and that every
// proxy uses a release at least as new as the newest that was acknowledged applyTimeout
// ago.
func (s *soak) checkConfig(ctx context.Context) {
	oldest, newest := s.operator.newestAcknowledged(time.Now().Add(-applyTimeout)), s.operator.newestRelease()
	for _, c := range s.fleet.controlAddresses() {
		if !s.operator.checkCurrentConfig(ctx, c) {
			s.checker.recordViolation(InvariantConfig, "%s does not return its configuration after recovery", c)
		}
	}
	for _, h := range s.fleet.proxies {
		upToDate := false
		for release := oldest; release <= newest; release++ {
			upToDate = upToDate || s.operator.probeRelease(ctx, h, release)
		}
		if !upToDate {
			s.checker.recordViolation(InvariantConfig, "%s does not use release %d or a newer one after recovery",
				h.Host, oldest)
		}
	}
}

// report returns the result of the run.
func (s *soak) report() Report {
	report := Report{
		Seed: s.Plan.Seed, Shape: s.Plan.Shape, Faults: len(s.Plan.Schedule), Violations: s.checker.Violations(),
	}
	for _, c := range s.operationCounts() {
		report.Attempted += c.attempted
		report.Served += c.served
	}
	for _, g := range s.fleet.groups {
		report.Commits += len(g.newestLog())
	}
	return report
}
