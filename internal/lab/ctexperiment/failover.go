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

// The times of the failover experiment.
const (
	writePause  = 2 * time.Millisecond
	writeTime   = 30 * time.Second
	steadyTime  = 700 * time.Millisecond
	controlTime = 5 * time.Second
	partOfWorst = 99
	wholeParts  = 100
)

// Failure is what happens to the primary.
type Failure string

// The failures.
const (
	FailureKill Failure = "kill"
	FailureCut  Failure = "cut"
	// FailureLeave is a planned one: the primary announces that it leaves.
	FailureLeave Failure = "leave"
	// FailureControl kills the process that leads control; no primary changes.
	FailureControl Failure = "control"
)

// FailoverReport is what Failover measured: the gaps, in milliseconds, in
// ascending order.
type FailoverReport struct {
	Failure   Failure `json:"failure"`
	GapMillis []int64 `json:"gaps_ms"`
	P50Millis int64   `json:"p50_ms"`
	P99Millis int64   `json:"p99_ms"`
	MaxMillis int64   `json:"worst_ms"`
	// Refused counts the writes that were not acknowledged meanwhile.
	Refused int `json:"refused"`
}

// Failover measures the gap of a number of changes of primary, each in a fleet
// of its own in the shape of a deployment, with one proxy in each failure domain.
func Failover(
	ctx context.Context, programs string, d *Deployment, failure Failure, runs int,
) (*FailoverReport, error) {
	report := &FailoverReport{Failure: failure}
	for range runs {
		if err := report.failOver(ctx, programs, d); err != nil {
			return nil, err
		}
	}
	slices.Sort(report.GapMillis)
	report.P50Millis = report.GapMillis[len(report.GapMillis)/2]
	report.P99Millis = report.GapMillis[(len(report.GapMillis)-1)*partOfWorst/wholeParts]
	report.MaxMillis = report.GapMillis[len(report.GapMillis)-1]
	return report, nil
}

func (r *FailoverReport) failOver(ctx context.Context, programs string, d *Deployment) error {
	s := d.shape(string(ctconfig.SelectTargetReplica))
	s.Proxies = 1
	s.StatementDelay = 0
	fleet, end, err := begin(programs, s)
	if err != nil {
		return err
	}
	defer end()
	d.delay(fleet, d.DomainDelay)
	w := &writer{proxy: fleet.Proxies[1], group: d.Groups[0]}
	if err := w.writeFor(ctx, steadyTime); err != nil {
		return err
	}
	primary := fleet.Members[w.group][0]
	w.worst = 0
	if err := fail(fleet, primary, r.Failure); err != nil {
		return err
	}
	if r.Failure == FailureControl {
		w.writeOn(ctx, controlTime)
	} else if err := w.writeUntilReplaced(ctx, fleet, primary); err != nil {
		return err
	}
	r.GapMillis = append(r.GapMillis, w.worst.Milliseconds())
	r.Refused += w.refused
	return nil
}

func fail(fleet *ctfleet.Fleet, primary *ctfleet.Process, failure Failure) error {
	switch failure {
	case FailureKill:
		primary.Kill()
		return nil
	case FailureLeave:
		return fleet.SetFaults(primary, ctstandin.Faults{Leaving: true})
	case FailureControl:
		leader, err := fleet.Leader()
		if err != nil {
			return err
		}
		leader.Kill()
		return nil
	case FailureCut:
		fleet.Network.Isolate(fleet.Shape.Sites[0], fleet.Shape.Sites...)
		return fleet.SetFaults(primary, ctstandin.Faults{Isolated: true})
	}
	return errors.Errorf("failure %q is unknown", failure)
}

// writer writes rows one after the other and notes the longest time between two
// that were acknowledged.
type writer struct {
	proxy      *ctfleet.Process
	group      string
	connection *pgconn.PgConn
	written    int
	refused    int
	last       time.Time
	worst      time.Duration
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

// writeOn writes for the stated time, also when writes fail.
func (w *writer) writeOn(ctx context.Context, d time.Duration) {
	until := time.Now().Add(d)
	for time.Now().Before(until) {
		if err := w.write(ctx); err != nil {
			w.refused++
		}
		time.Sleep(writePause)
	}
}

// writeUntilReplaced writes until a write was acknowledged after the proxy knew
// another primary.
func (w *writer) writeUntilReplaced(ctx context.Context, fleet *ctfleet.Fleet, primary *ctfleet.Process) error {
	until := time.Now().Add(writeTime)
	var err error
	for time.Now().Before(until) {
		now := fleet.Primary(w.proxy, w.group)
		replaced := now != nil && now != primary
		if err = w.write(ctx); err == nil && replaced {
			return nil
		}
		if err != nil {
			w.refused++
		}
		time.Sleep(writePause)
	}
	return errors.Wrap(err, "the primary was not replaced")
}

func (w *writer) write(ctx context.Context) error {
	if w.connection == nil || w.connection.IsClosed() {
		c, err := pgconn.Connect(ctx, "postgres://writer@"+w.proxy.Listen.String()+"/"+w.group+"?sslmode=disable")
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
	now := time.Now()
	if !w.last.IsZero() {
		w.worst = max(w.worst, now.Sub(w.last))
	}
	w.last = now
	return nil
}
