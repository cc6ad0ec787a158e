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
	loadWindow           = 5 * time.Second
	loadReadShare        = 0.9
	loadSwitchProxyEvery = 50
	// loadLatencyLimit is how long a request is of use. A load has as many sessions as
	// requests start in that time, so that none waits for an earlier one.
	loadLatencyLimit = requestTimeout
)

// replicaReadsLoad is how much of what the slots carry Share asks for.
const replicaReadsLoad = 0.5

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
func ReplicaReads(
	ctx context.Context, binFolder string, d *Deployment, domainDelay time.Duration,
) ([]*LoadReport, error) {
	fleet, stop, err := d.start(binFolder, string(ctconfig.SelectTargetReplica), domainDelay)
	if err != nil {
		return nil, err
	}
	defer stop()
	var reports []*LoadReport
	for _, lag := range []time.Duration{0, 200 * time.Millisecond, 2 * time.Second} {
		if err := setApplyLag(fleet, lag); err != nil {
			return nil, err
		}
		for _, age := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
			report := &LoadReport{
				PlainSelects: string(ctconfig.SelectTargetReplica), Load: replicaReadsLoad,
				MaxAge: ctconfig.Duration(age), Lag: ctconfig.Duration(lag),
			}
			if err := report.measure(ctx, fleet, d, uint64(len(reports)+1)); err != nil {
				return nil, err
			}
			reports = append(reports, report)
		}
	}
	return reports, nil
}

// setApplyLag sets how much later replicas show what they received.
func setApplyLag(fleet *ctfleet.Fleet, lag time.Duration) error {
	faults := ctstandin.Faults{
		StatementDelay: ctstandin.Milliseconds(statementDelay.Milliseconds()),
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

// measure puts the load on and measures it.
func (r *LoadReport) measure(ctx context.Context, fleet *ctfleet.Fleet, d *Deployment, seed uint64) error {
	before, err := countReads(fleet)
	if err != nil {
		return err
	}
	rate := r.Load * d.Capacity()
	options := ctload.Options{
		Groups: d.Groups, Duration: loadWindow, Rate: rate, ReadShare: loadReadShare, SwitchProxyEvery: loadSwitchProxyEvery,
		Sessions: int(rate * loadLatencyLimit.Seconds()), LatencyLimit: loadLatencyLimit, Seed: seed,
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
	after, err := countReads(fleet)
	if err != nil {
		return err
	}
	replicaReads := float64(after.replica - before.replica)
	r.ReplicaShare = replicaReads / (replicaReads + float64(after.primary-before.primary))
	r.Audit, err = auditWrites(fleet, r.Result.Writes)
	return err
}

// readCounts counts the reads that ran, by the role of the member.
type readCounts struct {
	primary int
	replica int
}

// countReads reads the members' counters. Writes are statements of their own
// here, so the statements that committed nothing are reads.
func countReads(fleet *ctfleet.Fleet) (readCounts, error) {
	var counts readCounts
	for _, group := range fleet.Shape.Groups {
		primary := fleet.Primary(fleet.Proxies[0], group)
		for _, m := range fleet.Members[group] {
			counters, err := fleet.Counters(m)
			if err != nil {
				return counts, err
			}
			if m == primary {
				counts.primary += counters.Statements - counters.Commits
			} else {
				counts.replica += counters.Statements
			}
		}
	}
	return counts, nil
}
