package ctstartup

import (
	"math/rand/v2"
	"time"
)

// Plan is what a run simulates.
type Plan struct {
	Proxies int
	Seed    uint64
	// Load divides the control processes' share of a core, as other work there does. 0
	// means 1.
	Load float64
	// LinkRate is the rate of a control process's link, in bytes a second. 0 means
	// defaultLinkRate.
	LinkRate float64
	// Duration is the length of the run; 0 means 20 s.
	Duration time.Duration
}

// The costs of a control process.
const (
	controlCount = 6
	// coreShare is the part of a core that a control process has.
	coreShare = 0.48
	// defaultLinkRate is 20 Mbit/s, at which a view takes less time than the rest of a start.
	defaultLinkRate = 20e6 / 8
	// acceptCost and reportCost are the processor times for accepting a connection and for
	// answering a report. On a deployment, 314 connections a second with a report each
	// took 54% of a core.
	acceptCost = 500 * time.Microsecond
	reportCost = 1200 * time.Microsecond
	// readCost is the processor time for reading a frame without decoding it, or for sending a
	// rejection.
	readCost = 50 * time.Microsecond
	// batchedCost is the processor time of the leader for a report in a batch.
	batchedCost = 150 * time.Microsecond
	// viewCost is the processor time for sending a whole view.
	viewCost = 2 * time.Millisecond
	// largeCost is that for a large delta, whose compressed form is shared by many proxies.
	largeCost = 500 * time.Microsecond
	// smallCost is the processor time for a message of a few fields.
	smallCost = 100 * time.Microsecond
)

// startSpread is the time within which all processes start.
const startSpread = 300 * time.Millisecond

// rateWindow is the time over which rates are measured.
const rateWindow = time.Second

const defaultDuration = 20 * time.Second

// Result is what a run has shown.
type Result struct {
	// Authority is when all proxies had authority at the same moment for the first time, and
	// Serving when they also had a view. They are negative if that did not happen.
	Authority, Serving time.Duration
	// Lost is how often a proxy lost its authority.
	Lost int
	// Leaders is how many control processes led one after another.
	Leaders int
	// PeakAccepted is the highest number of connections that a control process accepted within
	// rateWindow, and LateAccepted that in the second half of the run.
	PeakAccepted, LateAccepted int
	// ServingAtEnd is the part of the proxies that served at the end.
	ServingAtEnd float64
}

const never = time.Duration(-1)

// Run simulates the start of a fleet.
func Run(plan Plan) Result {
	if plan.Load == 0 {
		plan.Load = 1
	}
	if plan.LinkRate == 0 {
		plan.LinkRate = defaultLinkRate
	}
	if plan.Duration == 0 {
		plan.Duration = defaultDuration
	}
	w := &world{plan: plan, sizes: measureSizes(), random: rand.New(rand.NewPCG(plan.Seed, plan.Seed))}
	for i := range controlCount {
		w.controls = append(w.controls, newControl(w, i))
	}
	for i := range plan.Proxies {
		w.proxies = append(w.proxies, newProxy(w, i))
	}
	for _, c := range w.controls {
		w.after(w.uniform(startSpread), c.start)
	}
	for _, p := range w.proxies {
		w.after(w.uniform(startSpread), p.start)
	}
	w.after(startSpread+electionTime, w.elect)
	result := Result{Authority: never, Serving: never}
	const sampleInterval = 10 * time.Millisecond
	for at := sampleInterval; at <= plan.Duration; at += sampleInterval {
		w.runUntil(at)
		w.sample(&result)
	}
	result.Leaders = w.epoch
	for _, c := range w.controls {
		result.PeakAccepted = max(result.PeakAccepted, peak(c.accepted, 0))
		result.LateAccepted = max(result.LateAccepted, peak(c.accepted, plan.Duration/2))
	}
	return result
}

// sample updates a result by the present state.
func (w *world) sample(result *Result) {
	authorized, serving := 0, 0
	for _, p := range w.proxies {
		if w.now >= p.authorityExpiry {
			if p.authorized {
				result.Lost++
			}
			p.authorized = false
			continue
		}
		p.authorized = true
		authorized++
		if p.view.epoch > 0 {
			serving++
		}
	}
	if authorized == len(w.proxies) && result.Authority < 0 {
		result.Authority = w.now
	}
	if serving == len(w.proxies) && result.Serving < 0 {
		result.Serving = w.now
	}
	result.ServingAtEnd = float64(serving) / float64(len(w.proxies))
}

// peak returns the highest number of times within rateWindow that are not before begin. The
// times are in order.
func peak(times []time.Duration, begin time.Duration) int {
	highest, first := 0, 0
	for last, at := range times {
		if at < begin {
			first = last + 1
			continue
		}
		for at-times[first] >= rateWindow {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}
