package ctnode

import (
	"context"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/link/cttcp"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctcontrol"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/state/ctjournal"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// ControlFronts are a control process's front ends towards operators, members
// and the service that promotes them.
type ControlFronts struct {
	// Operators serves the calls of operators and members.
	Operators func(service *ctcontrol.Service) http.Handler
	Members   ctcontrol.Members
	// Decode decodes a configuration as operators write it.
	Decode   func(source []byte) (ctconfig.Document, error)
	Promoter ctcontrol.Promoter
}

// Control is a control process.
type Control struct {
	settings Settings
	fronts   ControlFronts
	logger   zerolog.Logger
	metrics  *ctmetric.Control
	service  *ctcontrol.Service
	journal  *ctjournal.Journal
}

// NewControl puts a control process together with the state of its disk.
func NewControl(settings Settings, fronts ControlFronts, logger zerolog.Logger) (*Control, error) {
	if settings.DataFolder == "" {
		return nil, missing("the data folder")
	}
	journal, err := ctjournal.Open(settings.DataFolder)
	if err != nil {
		return nil, err
	}
	journal.OnWriteError = func(err error) {
		logger.Warn().Str("event", "disk_refused").Str("error", err.Error()).Send()
	}
	metrics := ctmetric.NewControl(prometheus.NewRegistry())
	service, err := ctcontrol.NewService(ctcontrol.ServiceOptions{
		Name:      control(settings.IP),
		Seeds:     settings.seedNames(),
		First:     settings.FirstStart,
		Losses:    settings.Losses,
		ApplyTime: settings.applyTime(),
		Journal:   journal,
		Ways:      cttcp.Transport{LocalAddress: settings.Local},
		Resolve:   settings.resolve,
		Members:   fronts.Members,
		Promoter:  fronts.Promoter,
		Decode:    fronts.Decode,
		Clock:     &ctclock.BootTime{},
		Logger:    logger,
		Metrics:   metrics,
	})
	if err != nil {
		return nil, err
	}
	return &Control{
		settings: settings, fronts: fronts, logger: logger, metrics: metrics, service: service, journal: journal,
	}, nil
}

// Reload takes the settings that may change while the process runs: the seeds.
func (c *Control) Reload(settings Settings) {
	c.service.SetSeeds(settings.seedNames())
}

// Run serves until ctx ends or the disk fails.
func (c *Control) Run(ctx context.Context) error {
	peers, err := cttcp.Listen(c.settings.peerListen())
	if err != nil {
		return err
	}
	defer func() { _ = peers.Close() }()
	// What comes before the disk is read waits in the listener's queue.
	if err := c.service.Start(ctx); err != nil {
		return err
	}
	operators, err := serveHTTP(ctx, c.settings.Operators, "operators", c.fronts.Operators(c.service), c.logger)
	if err != nil {
		return err
	}
	defer func() { _ = operators.Close() }()
	measured, err := serveHTTP(ctx, c.settings.metrics(), "metrics", metricRoutes(c.metrics.Handler()), c.logger)
	if err != nil {
		return err
	}
	defer func() { _ = measured.Close() }()
	go func() {
		err := peers.Serve(ctx, func(ctx context.Context, way *cttcp.Stream) { c.service.Serve(ctx, way) })
		if ctx.Err() == nil {
			c.logger.Error().Str("event", "peers_ended").Str("error", err.Error()).Send()
		}
	}()
	err = c.service.Wait(ctx)
	c.logger.Info().Str("event", "stopped").Send()
	return err
}
