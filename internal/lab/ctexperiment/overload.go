package ctexperiment

import (
	"context"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
)

// Overload measures what runs in time at several multiples of what the slots
// carry. Its baseline sends all reads to the primaries.
func Overload(ctx context.Context, programs string, d *Deployment, between time.Duration) ([]*LoadReport, error) {
	var reports []*LoadReport
	for _, plain := range []ctconfig.SelectTarget{ctconfig.SelectTargetReplica, ctconfig.SelectTargetPrimary} {
		run, err := overload(ctx, programs, d, string(plain), between)
		if err != nil {
			return nil, err
		}
		reports = append(reports, run...)
	}
	return reports, nil
}

func overload(
	ctx context.Context, programs string, d *Deployment, plain string, between time.Duration,
) ([]*LoadReport, error) {
	fleet, end, err := d.begin(programs, plain, between)
	if err != nil {
		return nil, err
	}
	defer end()
	var reports []*LoadReport
	for _, load := range []float64{0.5, 1, 2, 4} {
		report := &LoadReport{PlainSelects: plain, Load: load}
		if err := report.run(ctx, fleet, d, uint64(len(reports)+1)); err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
	return reports, nil
}
