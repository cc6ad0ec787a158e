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

// silentBeats is how many heartbeats a proxy may miss.
const silentBeats = 4

// idleTime is how long an idle fleet is measured.
const idleTime = 5 * time.Second

// Idle measures what the processes of a fleet spend while no caller asks.
func Idle(ctx context.Context, programs string, proxiesAtSite int, heartbeat time.Duration) (*IdleReport, error) {
	s := shape()
	s.Proxies = proxiesAtSite
	s.HeartbeatInterval = heartbeat
	s.ReportTimeout = silentBeats * heartbeat
	fleet, end, err := begin(programs, s)
	if err != nil {
		return nil, err
	}
	defer end()
	before, err := sample(fleet)
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(idleTime):
	}
	after, err := sample(fleet)
	if err != nil {
		return nil, err
	}
	return compare(fleet, before, after)
}

// usage is what the processes have used up to a moment.
type usage struct {
	proxies  time.Duration
	controls time.Duration
	traffic  int64
}

func sample(fleet *ctfleet.Fleet) (usage, error) {
	var u usage
	var err error
	if u.proxies, err = spentByAll(fleet.Proxies); err != nil {
		return u, err
	}
	u.controls, err = spentByAll(fleet.Controls)
	u.traffic = fleet.TrafficBytes(fleet.Proxies)
	return u, err
}

func compare(fleet *ctfleet.Fleet, before, after usage) (*IdleReport, error) {
	count := len(fleet.Proxies)
	const percent = 100
	report := &IdleReport{
		Proxies:             count,
		ProxyCPUPercent:     percent * (after.proxies - before.proxies).Seconds() / idleTime.Seconds() / float64(count),
		ControlCPUPercent:   percent * (after.controls - before.controls).Seconds() / idleTime.Seconds(),
		ProxyBytesPerSecond: float64(after.traffic-before.traffic) / idleTime.Seconds() / float64(count),
	}
	var err error
	if report.ControlMemoryBytes, err = resident(fleet.Controls[0]); err != nil {
		return nil, err
	}
	report.ProxyMemoryBytes, err = resident(fleet.Proxies[0])
	return report, err
}
