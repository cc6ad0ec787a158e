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

// group is the database group of the experiments.
const group = "fit-registry"

// config lets reads be served by replicas of any usual age.
const config = `
defaults:
  reads:
    max_age: 5s
groups:
  - name: fit-registry
    size: 3
`

// The sizes of the path experiment.
const (
	pathTime     = 4 * time.Second
	fewSessions  = 1
	manySessions = 32
	idleCallers  = 2000
	settleTime   = time.Second
)

// sites are the failure domains of the Glove Association.
func sites() []ctrelay.Site {
	return []ctrelay.Site{"taipei-a", "taichung-a", "kaohsiung-a"}
}

// shape is a fleet of one proxy and one member in each failure domain.
func shape() ctfleet.Shape {
	return ctfleet.Shape{
		Sites:        sites(),
		Proxies:      1,
		Controls:     1,
		ControlSites: []ctrelay.Site{"taichung-a"},
		Groups:       []string{group},
		Slots:        manySessions,
		Connections:  2 * manySessions,
		Config:       config,
	}
}

// PathReport is what Path measured.
type PathReport struct {
	// Direct, Proxied and Keyed have one session at a time; Loaded has many. The
	// writes of Keyed have idempotency keys.
	Direct   *ctload.Result `json:"direct"`
	Proxied  *ctload.Result `json:"proxied"`
	WithKeys *ctload.Result `json:"keyed"`
	Loaded   *ctload.Result `json:"loaded"`
	// IdleSessionBytes is the memory of a proxy for each idle caller.
	IdleSessionBytes int64 `json:"idle_bytes"`
	// CPUMicros is what all proxies spend on a request under load.
	CPUMicros float64 `json:"processor_us"`
}

// begin starts a fleet in a folder of its own and returns what ends it.
func begin(programs string, s ctfleet.Shape) (*ctfleet.Fleet, func(), error) {
	folder, err := os.MkdirTemp("", "ctexperiment")
	if err != nil {
		return nil, nil, errors.Wrap(err, "make a folder")
	}
	fleet, err := ctfleet.Start(ctfleet.Options{Folder: folder, BinFolder: programs, Shape: s, LogLevel: "warn"})
	if err != nil {
		_ = os.RemoveAll(folder)
		return nil, nil, err
	}
	end := func() {
		fleet.Stop()
		_ = os.RemoveAll(folder)
	}
	if err := fleet.AwaitReady(); err != nil {
		end()
		return nil, nil, err
	}
	return fleet, end, nil
}

// Path measures the path through the proxies.
func Path(ctx context.Context, programs string) (*PathReport, error) {
	fleet, end, err := begin(programs, shape())
	if err != nil {
		return nil, err
	}
	defer end()
	report := &PathReport{}
	one := ctload.Options{Groups: []string{group}, Sessions: fewSessions, Duration: pathTime, ReadShare: 0.5, Seed: 1}
	one.Addresses = []string{fleet.Members[group][0].Listen.String()}
	if report.Direct, err = ctload.Run(ctx, one); err != nil {
		return nil, err
	}
	one.Addresses = []string{fleet.Proxies[0].Listen.String()}
	if report.Proxied, err = ctload.Run(ctx, one); err != nil {
		return nil, err
	}
	one.IdempotencyKeys, one.Seed = true, one.Seed+1
	if report.WithKeys, err = ctload.Run(ctx, one); err != nil {
		return nil, err
	}
	if err := report.load(ctx, fleet); err != nil {
		return nil, err
	}
	report.IdleSessionBytes, err = idleBytes(ctx, fleet.Proxies[0])
	return report, err
}

// load measures reads through one proxy from many sessions.
func (r *PathReport) load(ctx context.Context, fleet *ctfleet.Fleet) error {
	before, err := spentByAll(fleet.Proxies)
	if err != nil {
		return err
	}
	r.Loaded, err = ctload.Run(ctx, ctload.Options{
		Addresses: []string{fleet.Proxies[0].Listen.String()},
		Groups:    []string{group}, Sessions: manySessions, Duration: pathTime, ReadShare: 1, Seed: 2,
	})
	if err != nil {
		return err
	}
	after, err := spentByAll(fleet.Proxies)
	if err != nil {
		return err
	}
	r.CPUMicros = float64((after - before).Microseconds()) / (r.Loaded.Throughput * r.Loaded.ElapsedSeconds)
	return nil
}

func spentByAll(processes []*ctfleet.Process) (time.Duration, error) {
	var sum time.Duration
	for _, p := range processes {
		s, err := spent(p)
		if err != nil {
			return 0, err
		}
		sum += s
	}
	return sum, nil
}

// idleBytes measures the memory of a proxy for each idle caller.
func idleBytes(ctx context.Context, proxy *ctfleet.Process) (int64, error) {
	before, err := resident(proxy)
	if err != nil {
		return 0, err
	}
	var open []*pgconn.PgConn
	defer func() {
		for _, c := range open {
			_ = c.Close(ctx)
		}
	}()
	for range idleCallers {
		c, err := pgconn.Connect(ctx, "postgres://idle@"+proxy.Listen.String()+"/"+group+"?sslmode=disable")
		if err != nil {
			return 0, errors.Wrap(err, "open an idle connection")
		}
		open = append(open, c)
	}
	time.Sleep(settleTime)
	after, err := resident(proxy)
	return (after - before) / idleCallers, err
}
