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

// ControlFrontends are a control process's front ends towards operators, members
// and the service that promotes them.
type ControlFrontends struct {
	// OperatorHandler serves the calls of operators and members.
	OperatorHandler func(service *ctcontrol.Service) http.Handler
	Members         ctcontrol.MemberClient
	// DecodeConfig decodes a configuration as operators write it.
	DecodeConfig func(source []byte) (ctconfig.Document, error)
	Promoter     ctcontrol.Promoter
}

// Control is a control process.
type Control struct {
	settings Settings
	fronts   ControlFrontends
	logger   zerolog.Logger
	metrics  *ctmetric.Control
	service  *ctcontrol.Service
	journal  *ctjournal.Journal
}

// NewControl puts a control process together with the state of its disk.
func NewControl(settings Settings, fronts ControlFrontends, logger zerolog.Logger) (*Control, error) {
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
		Name:          control(settings.IP),
		Seeds:         settings.seedNames(),
		Bootstrap:     settings.Bootstrap,
		MaxDiskLosses: settings.MaxDiskLosses,
		ApplyTimeout:  settings.applyTime(),
		Journal:       journal,
		Transport:     cttcp.Transport{LocalAddress: settings.LocalIP},
		Resolve:       settings.resolve,
		Members:       fronts.Members,
		Promoter:      fronts.Promoter,
		DecodeConfig:  fronts.DecodeConfig,
		Clock:         &ctclock.BootTime{},
		Logger:        logger,
		Metrics:       metrics,
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
	operators, err := serveHTTP(
		ctx, c.settings.OperatorAddress, "operators", c.fronts.OperatorHandler(c.service), c.logger)
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
