package ctexperiment

import (
	"context"
	"os"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctload"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctrelay"
)

// groupName is the database group in the fleet of defaultShape.
const groupName = "fit-registry"

// groupConfig is the configuration of that fleet. Its maximum age is well above the
// usual lag of replicas, so replicas can serve all reads.
const groupConfig = `
defaults:
  reads:
    max_age: 5s
groups:
  - name: fit-registry
    size: 3
`

// Settings of the path experiment.
const (
	// pathWindow is how long each load runs.
	pathWindow         = 4 * time.Second
	singleSession      = 1
	concurrentSessions = 32
	idleSessions       = 2000
	// settleDelay is the pause before a measurement, after the fleet is ready or the
	// idle sessions are open.
	settleDelay = time.Second
)

// defaultFailureDomains returns the failure domains of the Glove Association, the user of
// fit-registry.
func defaultFailureDomains() []ctrelay.FailureDomain {
	return []ctrelay.FailureDomain{"taipei-a", "taichung-a", "kaohsiung-a"}
}

// defaultShape returns the shape of a fleet with one proxy and one member in each
// failure domain and one control process.
func defaultShape() ctfleet.Shape {
	return ctfleet.Shape{
		FailureDomains:        defaultFailureDomains(),
		Proxies:               1,
		Controls:              1,
		ControlFailureDomains: []ctrelay.FailureDomain{"taichung-a"},
		Groups:                []string{groupName},
		Slots:                 concurrentSessions,
		Connections:           2 * concurrentSessions,
		Config:                groupConfig,
	}
}

// PathReport is the result of Path.
type PathReport struct {
	// Direct is a load of one session without a proxy.
	Direct *ctload.Result `json:"direct"`
	// Proxied is the same load through a proxy.
	Proxied *ctload.Result `json:"proxied"`
	// WithKeys is Proxied with an idempotency key in each write.
	WithKeys *ctload.Result `json:"keyed"`
	// Loaded has reads of many concurrent sessions through one proxy.
	Loaded *ctload.Result `json:"loaded"`
	// IdleSessionBytes is the memory of a proxy for one idle session.
	IdleSessionBytes int64 `json:"idle_bytes"`
	// CPUMicros is the processor time of all proxies for one request of Loaded, in
	// microseconds.
	CPUMicros float64 `json:"processor_us"`
}

// startFleet starts a fleet in a temporary folder and waits until it is ready. The
// caller must call the returned function, which stops the fleet and removes the
// folder.
func startFleet(binFolder string, shape ctfleet.Shape) (*ctfleet.Fleet, func(), error) {
	folder, err := os.MkdirTemp("", "ctexperiment")
	if err != nil {
		return nil, nil, errors.Wrap(err, "make a folder")
	}
	fleet, err := ctfleet.Start(ctfleet.Options{Folder: folder, BinFolder: binFolder, Shape: shape, LogLevel: "warn"})
	if err != nil {
		_ = os.RemoveAll(folder)
		return nil, nil, err
	}
	stop := func() {
		fleet.Stop()
		_ = os.RemoveAll(folder)
	}
	if err := fleet.AwaitReady(); err != nil {
		stop()
		return nil, nil, err
	}
	return fleet, stop, nil
}

// Path measures what a proxy adds to the latency of a direct connection, and what it
// uses for load and for idle sessions.
func Path(ctx context.Context, binFolder string) (*PathReport, error) {
	fleet, stop, err := startFleet(binFolder, defaultShape())
	if err != nil {
		return nil, err
	}
	defer stop()
	report := &PathReport{}
	options := ctload.Options{
		Groups: []string{groupName}, Sessions: singleSession, Duration: pathWindow, ReadShare: 0.5, Seed: 1,
	}
	options.Addresses = []string{fleet.Members[groupName][0].Listen.String()}
	if report.Direct, err = ctload.Run(ctx, options); err != nil {
		return nil, err
	}
	options.Addresses = []string{fleet.Proxies[0].Listen.String()}
	if report.Proxied, err = ctload.Run(ctx, options); err != nil {
		return nil, err
	}
	options.IdempotencyKeys, options.Seed = true, options.Seed+1
	if report.WithKeys, err = ctload.Run(ctx, options); err != nil {
		return nil, err
	}
	if err := report.measureLoaded(ctx, fleet); err != nil {
		return nil, err
	}
	report.IdleSessionBytes, err = measureIdleSessionBytes(ctx, fleet.Proxies[0])
	return report, err
}

// measureLoaded measures reads of many sessions through one proxy, and the processor
// time that all proxies use for them.
func (r *PathReport) measureLoaded(ctx context.Context, fleet *ctfleet.Fleet) error {
	before, err := totalCPUTime(fleet.Proxies)
	if err != nil {
		return err
	}
	r.Loaded, err = ctload.Run(ctx, ctload.Options{
		Addresses: []string{fleet.Proxies[0].Listen.String()},
		Groups:    []string{groupName}, Sessions: concurrentSessions, Duration: pathWindow, ReadShare: 1, Seed: 2,
	})
	if err != nil {
		return err
	}
	after, err := totalCPUTime(fleet.Proxies)
	if err != nil {
		return err
	}
	r.CPUMicros = float64((after - before).Microseconds()) / (r.Loaded.Throughput * r.Loaded.ElapsedSeconds)
	return nil
}

// totalCPUTime returns the processor time that all given processes have used.
func totalCPUTime(processes []*ctfleet.Process) (time.Duration, error) {
	var sum time.Duration
	for _, p := range processes {
		used, err := cpuTime(p)
		if err != nil {
			return 0, err
		}
		sum += used
	}
	return sum, nil
}

// measureIdleSessionBytes opens idle sessions and returns by how many bytes each one
// increases the proxy's resident memory.
func measureIdleSessionBytes(ctx context.Context, proxy *ctfleet.Process) (int64, error) {
	before, err := residentMemory(proxy)
	if err != nil {
		return 0, err
	}
	var connections []*pgconn.PgConn
	defer func() {
		for _, c := range connections {
			_ = c.Close(ctx)
		}
	}()
	for range idleSessions {
		c, err := pgconn.Connect(ctx, "postgres://idle@"+proxy.Listen.String()+"/"+groupName+"?sslmode=disable")
		if err != nil {
			return 0, errors.Wrap(err, "open an idle connection")
		}
		connections = append(connections, c)
	}
	time.Sleep(settleDelay)
	after, err := residentMemory(proxy)
	return (after - before) / idleSessions, err
}
