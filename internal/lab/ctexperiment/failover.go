package ctexperiment

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstandin"
)

// The times of the failover experiment.
const (
	writePause  = 2 * time.Millisecond
	writeTime   = 30 * time.Second
	steadyTime  = 700 * time.Millisecond
	partOfWorst = 99
	wholeParts  = 100
)

// Failure is what happens to the primary.
type Failure string

// The failures.
const (
	FailureKill Failure = "kill"
	FailureCut  Failure = "cut"
)

// FailoverReport is what Failover measured: the gaps, in milliseconds, in
// ascending order.
type FailoverReport struct {
	Failure Failure `json:"failure"`
	Gaps    []int64 `json:"gaps_ms"`
	P50     int64   `json:"p50_ms"`
	P99     int64   `json:"p99_ms"`
	Worst   int64   `json:"worst_ms"`
}

// Failover measures the gap of a number of failovers, each of a fleet of its
// own.
func Failover(ctx context.Context, programs string, failure Failure, runs int) (*FailoverReport, error) {
	report := &FailoverReport{Failure: failure}
	for range runs {
		gap, err := failOver(ctx, programs, failure)
		if err != nil {
			return nil, err
		}
		report.Gaps = append(report.Gaps, gap.Milliseconds())
	}
	slices.Sort(report.Gaps)
	report.P50 = report.Gaps[len(report.Gaps)/2]
	report.P99 = report.Gaps[(len(report.Gaps)-1)*partOfWorst/wholeParts]
	report.Worst = report.Gaps[len(report.Gaps)-1]
	return report, nil
}

func failOver(ctx context.Context, programs string, failure Failure) (time.Duration, error) {
	fleet, end, err := begin(programs, shape())
	if err != nil {
		return 0, err
	}
	defer end()
	w := &writer{proxy: fleet.Proxies[1]}
	if err := w.writeFor(ctx, steadyTime); err != nil {
		return 0, err
	}
	last := w.last
	if err := fail(fleet, failure); err != nil {
		return 0, err
	}
	return w.firstAfter(ctx, last)
}

func fail(fleet *ctfleet.Fleet, failure Failure) error {
	primary := fleet.Members[group][0]
	if failure == FailureKill {
		primary.Kill()
		return nil
	}
	fleet.Net.Isolate(fleet.Shape.Sites[0], fleet.Shape.Sites...)
	return fleet.SetFaults(primary, ctstandin.Faults{Isolated: true})
}

// writer writes rows one after the other.
type writer struct {
	proxy      *ctfleet.Process
	connection *pgconn.PgConn
	written    int
	last       time.Time
}

// writeFor writes for the stated time.
func (w *writer) writeFor(ctx context.Context, d time.Duration) error {
	until := time.Now().Add(d)
	for time.Now().Before(until) {
		if err := w.write(ctx); err != nil {
			return err
		}
		time.Sleep(writePause)
	}
	return nil
}

// firstAfter writes until a write is acknowledged and returns the time since
// the last one before the failure.
func (w *writer) firstAfter(ctx context.Context, last time.Time) (time.Duration, error) {
	until := time.Now().Add(writeTime)
	var err error
	for time.Now().Before(until) {
		if err = w.write(ctx); err == nil {
			return w.last.Sub(last), nil
		}
		time.Sleep(writePause)
	}
	return 0, err
}

func (w *writer) write(ctx context.Context) error {
	if w.connection == nil || w.connection.IsClosed() {
		c, err := pgconn.Connect(ctx, "postgres://writer@"+w.proxy.Listen.String()+"/"+group+"?sslmode=disable")
		if err != nil {
			return err
		}
		w.connection = c
	}
	w.written++
	text := fmt.Sprintf("INSERT INTO gap (key, value) VALUES ('%d', 'x')", w.written)
	if _, err := w.connection.Exec(ctx, text).ReadAll(); err != nil {
		return err
	}
	w.last = time.Now()
	return nil
}
