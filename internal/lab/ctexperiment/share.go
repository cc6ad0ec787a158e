package ctexperiment

import (
	"context"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctload"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstandin"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
)

// The load of the experiments on deployments.
const (
	loadTime  = 5 * time.Second
	loadReads = 0.9
	loadMoves = 50
	// inTime is how long a request is of use. A load has as many sessions as
	// requests start in that time, so that none waits for an earlier one.
	inTime = requestTimeout
)

// shareLoad is how much of what the slots carry Share asks for.
const shareLoad = 0.5

// LoadReport is what one run of load on a deployment measured.
type LoadReport struct {
	// PlainSelects is where selects go that declare nothing.
	PlainSelects string `json:"plain_selects"`
	// Load is what was asked for, as a multiple of what the slots carry.
	Load float64 `json:"load"`
	// MaxAge is the age that reads accept, and Lag how much later replicas
	// show what their primary holds.
	MaxAge ctconfig.Duration `json:"max_age,omitzero"`
	Lag    ctconfig.Duration `json:"lag,omitzero"`
	// ReplicaShare is the share of the reads that replicas served.
	ReplicaShare float64        `json:"replica_share"`
	Result       *ctload.Result `json:"result"`
	Audit        *Audit         `json:"audit"`
}

// ReplicaReads measures how many reads replicas serve at several lags and accepted
// ages.
func ReplicaReads(ctx context.Context, programs string, d *Deployment, between time.Duration) ([]*LoadReport, error) {
	fleet, end, err := d.begin(programs, string(ctconfig.SelectTargetReplica), between)
	if err != nil {
		return nil, err
	}
	defer end()
	var reports []*LoadReport
	for _, lag := range []time.Duration{0, 200 * time.Millisecond, 2 * time.Second} {
		if err := setLag(fleet, lag); err != nil {
			return nil, err
		}
		for _, age := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
			report := &LoadReport{
				PlainSelects: string(ctconfig.SelectTargetReplica), Load: shareLoad,
				MaxAge: ctconfig.Duration(age), Lag: ctconfig.Duration(lag),
			}
			if err := report.run(ctx, fleet, d, uint64(len(reports)+1)); err != nil {
				return nil, err
			}
			reports = append(reports, report)
		}
	}
	return reports, nil
}

// setLag sets how much later replicas show what they received.
func setLag(fleet *ctfleet.Fleet, lag time.Duration) error {
	faults := ctstandin.Faults{
		StatementDelay: ctstandin.Milliseconds(serviceTime.Milliseconds()),
		ApplyLag:       ctstandin.Milliseconds(lag.Milliseconds()),
	}
	for _, group := range fleet.Shape.Groups {
		for _, m := range fleet.Members[group] {
			if err := fleet.SetFaults(m, faults); err != nil {
				return err
			}
		}
	}
	return nil
}

// run puts the load on and measures it.
func (r *LoadReport) run(ctx context.Context, fleet *ctfleet.Fleet, d *Deployment, seed uint64) error {
	before, err := readsOf(fleet)
	if err != nil {
		return err
	}
	rate := r.Load * d.Capacity()
	options := ctload.Options{
		Groups: d.Groups, Duration: loadTime, Rate: rate, ReadShare: loadReads, SwitchProxyEvery: loadMoves,
		Sessions: int(rate * inTime.Seconds()), LatencyLimit: inTime, Seed: seed,
	}
	if r.MaxAge > 0 {
		options.MaxAge = time.Duration(r.MaxAge).String()
	}
	for _, p := range fleet.Proxies {
		options.Addresses = append(options.Addresses, p.Listen.String())
	}
	if r.Result, err = ctload.Run(ctx, options); err != nil {
		return err
	}
	after, err := readsOf(fleet)
	if err != nil {
		return err
	}
	replicas := float64(after.replicas - before.replicas)
	r.ReplicaShare = replicas / (replicas + float64(after.primaries-before.primaries))
	r.Audit, err = audit(fleet, r.Result.Writes)
	return err
}

// reads counts the reads that ran, by the role of the member.
type reads struct {
	primaries int
	replicas  int
}

// readsOf reads the members' counters. Writes are statements of their own
// here, so the statements that committed nothing are reads.
func readsOf(fleet *ctfleet.Fleet) (reads, error) {
	var sum reads
	for _, group := range fleet.Shape.Groups {
		primary := fleet.Primary(fleet.Proxies[0], group)
		for _, m := range fleet.Members[group] {
			counters, err := fleet.Counters(m)
			if err != nil {
				return sum, err
			}
			if m == primary {
				sum.primaries += counters.Statements - counters.Commits
			} else {
				sum.replicas += counters.Statements
			}
		}
	}
	return sum, nil
}
