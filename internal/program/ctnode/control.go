package ctnode

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctbudget"
	"github.com/cherviltrestle/cherviltrestle/internal/link/cttcp"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctaccount"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctcontrol"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/state/ctjournal"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// ControlFrontends are a control process's interfaces to operators, members and the
// service that promotes members.
type ControlFrontends struct {
	// OperatorHandler returns the handler for the HTTP calls of operators and members.
	OperatorHandler func(service *ctcontrol.Service) http.Handler
	Dialer          ctpools.Dialer
	// DecodeStatus decodes a member's answer to a command.
	DecodeStatus func(answer ctquery.Answer) (ctquery.Status, error)
	// DecodeConfig decodes a configuration in the form in which operators write it.
	DecodeConfig func(source []byte) (ctconfig.Document, error)
	Promoter     ctcontrol.Promoter
}

// Control is a control process with its listeners and its journal.
type Control struct {
	settings  Settings
	frontends ControlFrontends
	logger    zerolog.Logger
	metrics   *ctmetric.Control
	service   *ctcontrol.Service
	journal   *ctjournal.Journal
}

// NewControl opens the journal in the data folder and returns a control process. Run
// starts it.
func NewControl(settings Settings, frontends ControlFrontends, logger zerolog.Logger) (*Control, error) {
	if settings.DataFolder == "" {
		return nil, missingSetting("the data folder")
	}
	journal, err := ctjournal.Open(settings.DataFolder)
	if err != nil {
		return nil, err
	}
	journal.OnWriteError = func(err error) {
		logger.Warn().Str("event", "disk_refused").Str("error", err.Error()).Send()
	}
	metrics := ctmetric.NewControl(prometheus.NewRegistry())
	clock := &ctclock.BootTime{}
	service, err := ctcontrol.NewService(ctcontrol.ServiceOptions{
		Name:          controlName(settings.IP),
		Seeds:         settings.seedNames(),
		Bootstrap:     settings.Bootstrap,
		MaxDiskLosses: settings.MaxDiskLosses,
		ApplyTimeout:  settings.proxyApplyTimeout(),
		Quotas:        settings.Quotas,
		Journal:       journal,
		Transport:     cttcp.Transport{LocalAddress: settings.LocalIP},
		Resolve:       settings.resolve,
		Members: &ctcontrol.PersistentClient{
			Opener: ctpools.Opener{
				Dialer: frontends.Dialer, Clock: clock, Logger: logger, AnswersInDoubt: metrics.AnswersInDoubt,
			},
			DecodeStatus: frontends.DecodeStatus,
		},
		Promoter:     frontends.Promoter,
		DecodeConfig: frontends.DecodeConfig,
		Clock:        clock,
		Logger:       logger,
		Metrics:      metrics,
	})
	if err != nil {
		return nil, err
	}
	return &Control{
		settings: settings, frontends: frontends, logger: logger, metrics: metrics, service: service, journal: journal,
	}, nil
}

// newAccounts returns the accounts of the clients of a listener.
func (c *Control) newAccounts(listener string, share ctbudget.Share) *ctaccount.Accounts {
	return c.settings.newAccounts(share, ctaccount.Options{
		Listener: listener, Clock: &ctclock.BootTime{}, Logger: c.logger, Metrics: &c.metrics.Clients,
	})
}

// Reload applies the settings that may change while the process runs, which are the
// seeds.
func (c *Control) Reload(settings Settings) {
	c.service.SetSeeds(settings.seedNames())
}

// routes returns the handler for metrics and the status.
func (c *Control) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", c.metrics.Handler())
	mux.Handle("GET /v1/status", c.service.StatusHandler())
	return mux
}

// answerTimeout is how long a planned stop waits until the requests of operators and
// members that have been accepted are answered.
const answerTimeout = 1500 * time.Millisecond

// Run serves peers, operators and metrics until the disk fails or ctx ends. In the second
// case it first answers the requests that it has accepted.
func (c *Control) Run(ctx context.Context) error {
	ctaccount.LimitHeap(c.settings.resources())
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	peers, err := cttcp.Listen(c.settings.peerListenAddress())
	if err != nil {
		return err
	}
	defer func() { _ = peers.Close() }()
	peers.Admit = c.service.AdmitConnection
	// Connections that arrive before the disk has been read wait in the listener's queue.
	if err := c.service.Start(runCtx); err != nil {
		return err
	}
	operatorServer, err := serveHTTP(
		runCtx, c.settings.OperatorAddress, "operators", c.frontends.OperatorHandler(c.service), c.logger,
		c.newAccounts("operators", operatorShare))
	if err != nil {
		return err
	}
	defer func() { _ = operatorServer.Close() }()
	metricsServer, err := serveHTTP(
		runCtx, c.settings.metricsAddress(), "metrics", c.routes(), c.logger,
		c.newAccounts("metrics", probeShare))
	if err != nil {
		return err
	}
	defer func() { _ = metricsServer.Close() }()
	go func() {
		report := ctmetric.Report(&c.logger, c.metrics.Panics)
		accounts := c.newAccounts("peers", controlPeerShare)
		err := peers.Serve(runCtx, report, func(ctx context.Context, stream *cttcp.Stream) {
			serveMetered(accounts, stream, func() { c.service.Serve(ctx, stream) })
		})
		if runCtx.Err() == nil {
			c.logger.Error().Str("event", "peers_ended").Str("error", err.Error()).Send()
		}
	}()
	err = c.service.Wait(ctx)
	answerCtx, cancelAnswers := context.WithTimeout(runCtx, answerTimeout)
	defer cancelAnswers()
	if stopErr := operatorServer.Shutdown(answerCtx); stopErr != nil {
		c.logger.Info().Str("event", "answers_cut").Str("error", stopErr.Error()).Send()
	}
	c.logger.Info().Str("event", "stopped").Send()
	return err
}
