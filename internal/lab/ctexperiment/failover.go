package ctexperiment

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstandin"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
)

const (
	// writeDelay is the pause between two writes.
	writeDelay = 2 * time.Millisecond
	// replacementTimeout bounds the wait for a new primary.
	replacementTimeout = 30 * time.Second
	// warmUpWindow is how long the writer writes before the failure.
	warmUpWindow = 700 * time.Millisecond
	// controlFailureWindow is how long the writer writes after control's leader
	// was killed.
	controlFailureWindow = 5 * time.Second
	p99Numerator         = 99
	p99Denominator       = 100
)

// Failure is a failure that Failover injects.
type Failure string

// Failures of the primary or of control.
const (
	// FailureKill kills the primary's process.
	FailureKill Failure = "kill"
	// FailureIsolate cuts the primary's failure domain off from the others and stops
	// replication from and to the primary.
	FailureIsolate Failure = "cut"
	// FailureLeaving is a planned change: the primary announces that it is leaving.
	FailureLeaving Failure = "leave"
	// FailureControlLeader kills control's leader; no primary changes.
	FailureControlLeader Failure = "control"
)

// FailoverReport is the result of Failover. A gap is the longest time between two
// acknowledged writes in one run.
type FailoverReport struct {
	Failure Failure `json:"failure"`
	// GapMillis has the gap of each run, in ascending order.
	GapMillis []int64 `json:"gaps_ms"`
	P50Millis int64   `json:"p50_ms"`
	P99Millis int64   `json:"p99_ms"`
	MaxMillis int64   `json:"worst_ms"`
	// FailedWrites counts the writes that were not acknowledged after the failure,
	// over all runs.
	FailedWrites int `json:"refused"`
}

// Failover injects the failure once in each run and measures the gap. Each run
// starts a fleet of its own in the shape of the deployment, but with one proxy in
// each failure domain and without a delay of statements. There must be at least
// one run.
func Failover(
	ctx context.Context, binFolder string, d *Deployment, failure Failure, runs int,
) (*FailoverReport, error) {
	report := &FailoverReport{Failure: failure}
	for range runs {
		if err := report.measureOnce(ctx, binFolder, d); err != nil {
			return nil, err
		}
	}
	slices.Sort(report.GapMillis)
	report.P50Millis = report.GapMillis[len(report.GapMillis)/2]
	report.P99Millis = report.GapMillis[(len(report.GapMillis)-1)*p99Numerator/p99Denominator]
	report.MaxMillis = report.GapMillis[len(report.GapMillis)-1]
	return report, nil
}

// measureOnce injects the failure in a new fleet and adds the gap to the report.
func (r *FailoverReport) measureOnce(ctx context.Context, binFolder string, d *Deployment) error {
	shape := d.fleetShape(string(ctconfig.SelectTargetReplica))
	shape.Proxies = 1
	shape.StatementDelay = 0
	fleet, stop, err := startFleet(binFolder, shape)
	if err != nil {
		return err
	}
	defer stop()
	d.setDomainDelay(fleet, d.DomainDelay)
	w := &writer{proxy: fleet.Proxies[1], group: d.Groups[0]}
	if err := w.writeFor(ctx, warmUpWindow); err != nil {
		return err
	}
	primary := fleet.Members[w.group][0]
	w.longestGap = 0
	if err := injectFailure(fleet, primary, r.Failure); err != nil {
		return err
	}
	if r.Failure == FailureControlLeader {
		w.writeDespiteErrors(ctx, controlFailureWindow)
	} else if err := w.writeUntilReplaced(ctx, fleet, primary); err != nil {
		return err
	}
	r.GapMillis = append(r.GapMillis, w.longestGap.Milliseconds())
	r.FailedWrites += w.failed
	return nil
}

// injectFailure injects a failure. The primary must be in the first failure domain.
func injectFailure(fleet *ctfleet.Fleet, primary *ctfleet.Process, failure Failure) error {
	switch failure {
	case FailureKill:
		primary.Kill()
		return nil
	case FailureLeaving:
		return fleet.SetFaults(primary, ctstandin.Faults{Leaving: true})
	case FailureControlLeader:
		leader, err := fleet.Leader()
		if err != nil {
			return err
		}
		leader.Kill()
		return nil
	case FailureIsolate:
		fleet.Network.Isolate(fleet.Shape.FailureDomains[0], fleet.Shape.FailureDomains...)
		return fleet.SetFaults(primary, ctstandin.Faults{Isolated: true})
	}
	return errors.Errorf("failure %q is unknown", failure)
}

// writer inserts rows one after the other through a proxy. It records the longest
// time between two acknowledged writes.
type writer struct {
	proxy *ctfleet.Process
	group string
	// connection is nil before the first write.
	connection       *pgconn.PgConn
	lastKey          int
	failed           int
	lastAcknowledged time.Time
	longestGap       time.Duration
}

// writeFor writes for the given duration and returns the first error.
func (w *writer) writeFor(ctx context.Context, duration time.Duration) error {
	deadline := time.Now().Add(duration)
	for time.Now().Before(deadline) {
		if err := w.write(ctx); err != nil {
			return err
		}
		time.Sleep(writeDelay)
	}
	return nil
}

// writeDespiteErrors writes for the given duration and counts the writes that fail.
func (w *writer) writeDespiteErrors(ctx context.Context, duration time.Duration) {
	deadline := time.Now().Add(duration)
	for time.Now().Before(deadline) {
		if err := w.write(ctx); err != nil {
			w.failed++
		}
		time.Sleep(writeDelay)
	}
}

// writeUntilReplaced writes until the proxy knows another primary and a later write
// is acknowledged.
func (w *writer) writeUntilReplaced(ctx context.Context, fleet *ctfleet.Fleet, primary *ctfleet.Process) error {
	deadline := time.Now().Add(replacementTimeout)
	var err error
	for time.Now().Before(deadline) {
		current := fleet.Primary(w.proxy, w.group)
		replaced := current != nil && current != primary
		if err = w.write(ctx); err == nil && replaced {
			return nil
		}
		if err != nil {
			w.failed++
		}
		time.Sleep(writeDelay)
	}
	return errors.Wrap(err, "the primary was not replaced")
}

// write inserts one row. It opens a connection if there is none or it was closed.
func (w *writer) write(ctx context.Context) error {
	if w.connection == nil || w.connection.IsClosed() {
		c, err := pgconn.Connect(ctx, "postgres://writer@"+w.proxy.Listen.String()+"/"+w.group+"?sslmode=disable")
		if err != nil {
			return err
		}
		w.connection = c
	}
	w.lastKey++
	statement := fmt.Sprintf("INSERT INTO gap (key, value) VALUES ('%d', 'x')", w.lastKey)
	if _, err := w.connection.Exec(ctx, statement).ReadAll(); err != nil {
		return err
	}
	now := time.Now()
	if !w.lastAcknowledged.IsZero() {
		w.longestGap = max(w.longestGap, now.Sub(w.lastAcknowledged))
	}
	w.lastAcknowledged = now
	return nil
}
