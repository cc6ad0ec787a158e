package ctexperiment

import (
	"context"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
)

// Overload measures what runs in time at several multiples of what the slots
// carry. Its baseline sends all reads to the primaries.
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
