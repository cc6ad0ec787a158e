package ctexperiment

import (
	"context"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
)

// IdleReport is what Idle measured of one size of fleet.
type IdleReport struct {
	Proxies int `json:"proxies"`
	// ProxyCPUPercent and ControlPercent are shares of a processor.
	ProxyCPUPercent    float64 `json:"proxy_percent"`
	ControlCPUPercent  float64 `json:"control_percent"`
	ProxyMemoryBytes   int64   `json:"proxy_bytes"`
	ControlMemoryBytes int64   `json:"control_bytes"`
	// ProxyBytesPerSecond is what a proxy sends and receives, in bytes a second.
	ProxyBytesPerSecond float64 `json:"proxy_bytes_per_second"`
}

// reportTimeoutHeartbeats is how many heartbeats a proxy may miss.
const reportTimeoutHeartbeats = 4

// idleWindow is how long an idle fleet is measured.
const idleWindow = 5 * time.Second

// Idle measures what the processes of a fleet spend while no caller asks.
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

// resourceUsage is what the processes have used up to a moment.
type resourceUsage struct {
	proxyCPU   time.Duration
	controlCPU time.Duration
	proxyBytes int64
}

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
