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
	// BinFolder is the folder with cherviltrestle, and Folder takes settings, data and
	// logs.
	BinFolder string
	Folder    string
	Logger    zerolog.Logger
}

// Report tells what came of a run.
type Report struct {
	Seed       uint64      `json:"seed"`
	Shape      Shape       `json:"shape"`
	Faults     int         `json:"faults"`
	Attempted  int64       `json:"asked"`
	Served     int64       `json:"served"`
	Commits    int         `json:"commits"`
	Violations []Violation `json:"breaches"`
}

// The times of a run.
const (
	// warmTime bounds the wait for the first configuration and the first proxies.
	warmTime = 15 * time.Second
	// recoveryTime is how long the site may take after the last fault, and checkTime
	// the stretch after it in which callers must be served.
	recoveryTime = 12 * time.Second
	checkTime    = 5 * time.Second
	watchPause   = 100 * time.Millisecond
	// leastServed is the share of operations that must be served after recovery: one
	// in so many.
	leastServed = 4
)

// soak is a run.
type soak struct {
	Options
	site     *Fleet
	judge    *Checker
	operator *operator
	balancer *balancer
	tallies  map[ctid.Database]*tally
	working  sync.WaitGroup
}

// Run performs a plan and returns what came of it.
func Run(ctx context.Context, options Options) (Report, error) {
	judge := NewChecker()
	site, err := NewFleet(options.Plan, options.Folder, options.BinFolder, judge)
	if err != nil {
		return Report{}, err
	}
	defer site.Close()
	stopped := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := site.Start(ctx); err != nil {
		return Report{}, err
	}
	r := &soak{
		Options: options, site: site, judge: judge,
		operator: newOperator(site, randomOf(options.Plan.Seed, 1)),
		balancer: &balancer{proxies: site.proxies},
		tallies:  make(map[ctid.Database]*tally),
	}
	if err := r.warm(ctx); err != nil {
		return Report{}, err
	}
	r.perform(ctx)
	return r.report(), errors.Wrap(stopped.Err(), "the run was ended before its checks")
}

// randomOf returns the random numbers of one part of a run.
func randomOf(seed, part uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, part))
}

// warm waits until the first configuration is in force at a proxy.
func (r *soak) warm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmTime)
	defer cancel()
	release := r.operator.next()
	if !r.operator.publish(ctx, release) {
		return errors.New("the first configuration was not acknowledged")
	}
	for !r.operator.probeOne(ctx, r.site.proxies[0], release) {
		if ctx.Err() != nil {
			return errors.New("the first configuration came into force nowhere")
		}
		sleep(ctx, watchPause)
	}
	return r.site.ClearFirstStart()
}

// perform runs callers, operators and faults, and then the checks of the end.
func (r *soak) perform(ctx context.Context) {
	calling, endCalls := context.WithCancel(ctx)
	changing, endChanges := context.WithCancel(ctx)
	defer endChanges()
	defer endCalls()
	r.work(func() { r.balancer.run(calling) })
	r.work(func() { r.operator.run(changing, randomOf(r.Plan.Seed, 3)) })
	r.work(func() { r.operator.probe(calling, randomOf(r.Plan.Seed, 2)) })
	r.work(func() { r.watch(calling) })
	r.call(calling)
	injecting, endFaults := context.WithTimeout(ctx, r.Plan.FaultDuration+2*longest+stopTime)
	(&injector{site: r.site, logger: r.Logger}).run(injecting)
	endFaults()
	r.Logger.Info().Str("event", "faults_over").Send()
	sleep(ctx, recoveryTime)
	before := r.counts()
	endChanges()
	sleep(ctx, checkTime)
	r.checkServed(before)
	r.checkConfig(ctx)
	endCalls()
	r.working.Wait()
	for _, g := range r.site.groups {
		r.judge.final(g.name, g.newest())
	}
	r.checkLogs()
}

// alarms are what the runtime writes where a process fails.
var alarms = []string{"WARNING: DATA RACE", "panic: ", "fatal error: "}

// checkLogs looks for processes that the runtime found a fault in.
func (r *soak) checkLogs() {
	for _, h := range r.site.hosts() {
		text, err := os.ReadFile(h.process.LogFile)
		if err != nil {
			r.judge.breach(InvariantNoExit, "the log of %s can't be read: %v", h.Host, err)
			continue
		}
		for _, a := range alarms {
			if bytes.Contains(text, []byte(a)) {
				r.judge.breach(InvariantNoExit, "%s wrote %q", h.Host, a)
			}
		}
	}
}

func (r *soak) work(run func()) {
	r.working.Add(1)
	go func() {
		defer r.working.Done()
		run()
	}()
}

// call starts the callers, spread over the databases.
func (r *soak) call(ctx context.Context) {
	for i := range r.Plan.Shape.Callers {
		g := r.site.groups[i%len(r.site.groups)]
		f := freshness(i / len(r.site.groups) % int(freshnessCount))
		name := database(g.name, f)
		if r.tallies[name] == nil {
			r.tallies[name] = &tally{}
		}
		c := &caller{
			name: fmt.Sprintf("c%02d", i), site: r.site, balancer: r.balancer, group: g, fresh: f,
			tally: r.tallies[name], random: randomOf(r.Plan.Seed, uint64(100+i)),
		}
		r.work(func() { c.run(ctx) })
	}
}

// watch notes processes that end by themselves, and starts them again.
func (r *soak) watch(ctx context.Context) {
	for ctx.Err() == nil {
		for _, h := range r.site.hosts() {
			h.mutex.Lock()
			ended := h.wanted && !h.process.Running()
			h.mutex.Unlock()
			if ended {
				r.judge.breach(InvariantNoExit, "%s ended by itself", h.Host)
				_ = h.start()
			}
		}
		sleep(ctx, watchPause)
	}
}

// count is how many operations were asked for and served.
type count struct {
	asked, served int64
}

func (r *soak) counts() map[ctid.Database]count {
	counts := make(map[ctid.Database]count)
	for name, t := range r.tallies {
		counts[name] = count{asked: t.asked.Load(), served: t.served.Load()}
	}
	return counts
}

// checkServed checks that callers of every database are served again.
func (r *soak) checkServed(before map[ctid.Database]count) {
	for name, now := range r.counts() {
		asked, served := now.asked-before[name].asked, now.served-before[name].served
		r.Logger.Info().Str("event", "recovered").Str("database", string(name)).
			Int64("asked", asked).Int64("served", served).Send()
		if served*leastServed < asked || served == 0 {
			r.judge.breach(InvariantRecovery, "%s: %d of %d operations were served after recovery", name, served, asked)
		}
	}
}

// checkConfig checks that every process follows the newest release.
func (r *soak) checkConfig(ctx context.Context) {
	due, newest := r.operator.due(time.Now().Add(-applyTime)), r.operator.last()
	for _, c := range r.site.operators() {
		if !r.operator.recall(ctx, c) {
			r.judge.breach(InvariantConfig, "%s does not tell the configuration after recovery", c)
		}
	}
	for _, h := range r.site.proxies {
		follows := false
		for release := due; release <= newest; release++ {
			follows = follows || r.operator.probeOne(ctx, h, release)
		}
		if !follows {
			r.judge.breach(InvariantConfig, "%s does not follow release %d after recovery", h.Host, due)
		}
	}
}

func (r *soak) report() Report {
	report := Report{
		Seed: r.Plan.Seed, Shape: r.Plan.Shape, Faults: len(r.Plan.Schedule), Violations: r.judge.Violations(),
	}
	for _, c := range r.counts() {
		report.Attempted += c.asked
		report.Served += c.served
	}
	for _, g := range r.site.groups {
		report.Commits += len(g.newest())
	}
	return report
}
