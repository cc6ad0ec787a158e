package ctexperiment

import (
	"context"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
)

// IdleReport is the result of Idle.
type IdleReport struct {
	// Proxies is the number of proxies in the fleet.
	Proxies int `json:"proxies"`
	// ProxyCPUPercent is the average processor time of a proxy, in percent of one
	// processor.
	ProxyCPUPercent float64 `json:"proxy_percent"`
	// ControlCPUPercent is the processor time of control, in percent of one processor.
	ControlCPUPercent float64 `json:"control_percent"`
	// ProxyMemoryBytes is the resident memory of the first proxy.
	ProxyMemoryBytes int64 `json:"proxy_bytes"`
	// ControlMemoryBytes is the resident memory of control.
	ControlMemoryBytes int64 `json:"control_bytes"`
	// ProxyBytesPerSecond is the average traffic of a proxy with other processes, in
	// both directions.
	ProxyBytesPerSecond float64 `json:"proxy_bytes_per_second"`
}

// reportTimeoutHeartbeats is the timeout of a proxy's reports, in heartbeat intervals.
const reportTimeoutHeartbeats = 4

// idleWindow is how long an idle fleet is measured.
const idleWindow = 5 * time.Second

// Idle measures processor time, memory and traffic of a fleet without sessions. The
// value heartbeat is the interval of the proxies' reports.
func Idle(ctx context.Context, binFolder string, proxiesPerDomain int, heartbeat time.Duration) (*IdleReport, error) {
	shape := defaultShape()
	shape.Proxies = proxiesPerDomain
	shape.HeartbeatInterval = heartbeat
	shape.ReportTimeout = reportTimeoutHeartbeats * heartbeat
	fleet, stop, err := startFleet(binFolder, shape)
	if err != nil {
		return nil, err
	}
	defer stop()
	before, err := sampleUsage(fleet)
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(idleWindow):
	}
	after, err := sampleUsage(fleet)
	if err != nil {
		return nil, err
	}
	return newIdleReport(fleet, before, after)
}

// resourceUsage is what the processes of a fleet have used since their start. Each
// field is the sum over all proxies or over all control processes.
type resourceUsage struct {
	proxyCPU   time.Duration
	controlCPU time.Duration
	proxyBytes int64
}

// sampleUsage returns the resource usage of the fleet so far.
func sampleUsage(fleet *ctfleet.Fleet) (resourceUsage, error) {
	var u resourceUsage
	var err error
	if u.proxyCPU, err = totalCPUTime(fleet.Proxies); err != nil {
		return u, err
	}
	u.controlCPU, err = totalCPUTime(fleet.Controls)
	u.proxyBytes = fleet.TrafficBytes(fleet.Proxies)
	return u, err
}

// newIdleReport returns the report on the time between two samples, idleWindow apart.
func newIdleReport(fleet *ctfleet.Fleet, before, after resourceUsage) (*IdleReport, error) {
	count := len(fleet.Proxies)
	const percent = 100
	report := &IdleReport{
		Proxies:             count,
		ProxyCPUPercent:     percent * (after.proxyCPU - before.proxyCPU).Seconds() / idleWindow.Seconds() / float64(count),
		ControlCPUPercent:   percent * (after.controlCPU - before.controlCPU).Seconds() / idleWindow.Seconds(),
		ProxyBytesPerSecond: float64(after.proxyBytes-before.proxyBytes) / idleWindow.Seconds() / float64(count),
	}
	var err error
	if report.ControlMemoryBytes, err = residentMemory(fleet.Controls[0]); err != nil {
		return nil, err
	}
	report.ProxyMemoryBytes, err = residentMemory(fleet.Proxies[0])
	return report, err
}
