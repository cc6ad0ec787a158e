package ctexperiment

import (
	"context"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
)

// Overload measures goodput at several multiples of the deployment's capacity. It
// sends plain selects to replicas first. The second half of the reports is the
// baseline, in which all reads go to the primaries. The value domainDelay is the
// one-way delay of packets between failure domains.
func Overload(ctx context.Context, binFolder string, d *Deployment, domainDelay time.Duration) ([]*LoadReport, error) {
	var reports []*LoadReport
	for _, plainSelects := range []ctconfig.SelectTarget{ctconfig.SelectTargetReplica, ctconfig.SelectTargetPrimary} {
		loadReports, err := measureOverload(ctx, binFolder, d, string(plainSelects), domainDelay)
		if err != nil {
			return nil, err
		}
		reports = append(reports, loadReports...)
	}
	return reports, nil
}

// measureOverload measures all loads on one fleet, in ascending order.
func measureOverload(
	ctx context.Context, binFolder string, d *Deployment, plainSelects string, domainDelay time.Duration,
) ([]*LoadReport, error) {
	fleet, stop, err := d.start(binFolder, plainSelects, domainDelay)
	if err != nil {
		return nil, err
	}
	defer stop()
	var reports []*LoadReport
	for _, load := range []float64{0.5, 1, 2, 4} {
		report := &LoadReport{PlainSelects: plainSelects, Load: load}
		if err := report.measure(ctx, fleet, d, uint64(len(reports)+1)); err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
	return reports, nil
}
