package ctexperiment

import (
	"context"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctload"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstandin"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
)

// Settings of the load in ReplicaReads and Overload.
const (
	// loadWindow is how long one measurement runs.
	loadWindow           = 5 * time.Second
	loadReadShare        = 0.9
	loadSwitchProxyEvery = 50
	// loadLatencyLimit is the latency up to which a request counts as goodput. The
	// load has as many sessions as requests start in that time. A request then
	// doesn't wait for an earlier one of its session.
	loadLatencyLimit = requestTimeout
)

// replicaReadsLoad is the load of ReplicaReads, as a multiple of the capacity.
const replicaReadsLoad = 0.5

// LoadReport is the result of one load on a deployment.
type LoadReport struct {
	// PlainSelects is the target of selects that declare no target of their own.
	PlainSelects string `json:"plain_selects"`
	// Load is the rate of requests, as a multiple of the deployment's capacity.
	Load float64 `json:"load"`
	// MaxAge is the maximum age of the data that reads accept; 0 leaves the default
	// of the configuration.
	MaxAge ctconfig.Duration `json:"max_age,omitzero"`
	// Lag is the delay after which replicas show what they received.
	Lag ctconfig.Duration `json:"lag,omitzero"`
	// ReplicaShare is the share of reads that replicas served, from 0 to 1.
	ReplicaShare float64        `json:"replica_share"`
	Result       *ctload.Result `json:"result"`
	Audit        *Audit         `json:"audit"`
}

// ReplicaReads measures the share of reads that replicas serve, for several apply
// lags of the replicas and several accepted ages. The value domainDelay is the
// one-way delay of packets between failure domains. The reports are in the order of
// the lags, then of the ages.
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

// setApplyLag sets the delay after which members show what they received. SetFaults
// replaces all settings of a member, so the statement delay is set again.
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

// measure runs the load on the fleet and fills in the results. The seed must differ
// between the loads on one fleet, since the keys of written rows contain it.
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

// readCounts counts the reads that members ran, by the role of the member.
type readCounts struct {
	primary int
	replica int
}

// countReads returns the reads so far, from the members' counters. In this load each
// write is a single statement that commits, so the other statements are reads.
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
