package ctcontrol

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctintake"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquota"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/state/ctjournal"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

const (
	// serviceWatchTimeout is how long a watch may wait before it is answered without a
	// delta.
	serviceWatchTimeout = 1500 * time.Millisecond
	// serviceReportTimeout is how long after its last report a proxy is removed. Its
	// share of the connections to the members then goes to the other proxies.
	serviceReportTimeout = 3 * time.Second
)

// ServiceOptions are the dependencies and settings of a Service.
type ServiceOptions struct {
	// Name is the name of this process, which other processes resolve to its address.
	Name ctid.Control
	// Seeds lists the control processes to contact first. Some of them may be gone.
	Seeds []ctid.Control
	// Bootstrap reports whether the whole fleet starts for the first time. The seeds are
	// its first voters.
	Bootstrap bool
	// MaxDiskLosses is how many disks may be lost at once. 2*MaxDiskLosses+1 processes
	// vote, an odd number, and the others are standbys.
	MaxDiskLosses int
	// ApplyTimeout is how long after its acceptance a configuration must be in force on
	// every proxy. 0 sets no limit.
	ApplyTimeout time.Duration
	// Quotas say how strictly the rate limits of workspaces are enforced.
	Quotas    ctquota.Bounds
	Journal   *ctjournal.Journal
	Transport ctframe.Transport
	// Resolve returns the address of a control process by its name.
	Resolve  func(ctid.Control) (netip.AddrPort, bool)
	Members  MemberClient
	Promoter Promoter
	// DecodeConfig decodes a configuration from the operator's text.
	DecodeConfig func(source []byte) (ctconfig.Document, error)
	Clock        ctclock.Clock
	Logger       zerolog.Logger
	Metrics      *ctmetric.Control
}

// Service is a control process whose transport, journal and operators' interface are
// provided by the caller. Its methods may be called on any control process: they forward
// requests to the leader.
type Service struct {
	ServiceOptions

	control       *Control
	replica       *Replica
	announcements *announcementRelay
	reports       *batcher[ctview.Report, ctview.Reply]
	views         *viewRelay
	// frames decides on frames, and transfers on whole views for proxies. admission
	// bounds the accepted connections.
	frames    *intake
	transfers *intake
	admission cttable.Cell[admission]

	// mutex guards idleStreams and compressed.
	mutex       sync.Mutex
	idleStreams map[ctid.Control][]ctframe.Stream
	// compressed caches compressed deltas and configurations.
	compressed map[compressionKey][]byte
}

// NewService returns a service with the identity that is stored on its disk.
func NewService(options ServiceOptions) (*Service, error) {
	d := &disk{store: options.Journal}
	self, err := loadOrBootstrapSelf(d, options)
	if err != nil {
		return nil, err
	}
	replica := &Replica{
		self:       self,
		disk:       d,
		transport:  options.Transport,
		resolve:    options.Resolve,
		voterCount: 2*options.MaxDiskLosses + 1,
		clock:      options.Clock,
		logger:     options.Logger,
		metrics:    options.Metrics,
	}
	for _, name := range options.Seeds {
		if address, ok := options.Resolve(name); ok && name != options.Name {
			replica.peers = append(replica.peers, PeerAddress{Name: name, Address: address})
		}
	}
	control := New(Options{
		Name:          options.Name,
		Clock:         options.Clock,
		Logger:        options.Logger,
		ReportTimeout: serviceReportTimeout,
		ApplyTimeout:  options.ApplyTimeout,
		Quotas:        options.Quotas,
		Members:       options.Members,
		Promoter:      options.Promoter,
		Metrics:       options.Metrics,
		DecodeConfig: func(compressed []byte) (ctconfig.Document, error) {
			source, err := ctframe.Decompress(compressed)
			if err != nil {
				return ctconfig.Document{}, err
			}
			return options.DecodeConfig(source)
		},
		Voters: func(held *ctlock.Held) []ctid.Control { return voterNames(replica.Voters(held)) },
	})
	control.SetProposer(replica)
	s := &Service{
		ServiceOptions: options, control: control, replica: replica,
		idleStreams: make(map[ctid.Control][]ctframe.Stream), compressed: make(map[compressionKey][]byte),
	}
	s.announcements = newAnnouncementRelay(options.Clock, s.sendToLeader)
	s.reports = newBatcher(options.Clock, relayTimeout, s.sendReports)
	s.views = newViewRelay()
	s.startIntake()
	return s, nil
}

// startIntake creates the queues of frames and the bound of connections.
func (s *Service) startIntake() {
	s.frames = newIntake(s.Clock, &s.Logger, s.Metrics, ctintake.Queue{
		Slots: ctintake.FrameSlots, MaxWait: ctintake.MaxFrameWait,
	})
	s.transfers = newIntake(s.Clock, &s.Logger, s.Metrics, ctintake.Queue{
		Slots: ctintake.ViewSlots, MaxWait: ctintake.MaxViewWait, HandlingTime: ctintake.ViewTime,
	})
	s.admission = cttable.Cell[admission]{Rank: ctlock.RankIntake}
	var held ctlock.Held
	s.admission.With(&held, func(a *admission) {
		a.gate = ctintake.NewGate()
		a.seeds = s.Seeds
	})
}

func voterNames(voters []ctquorum.Peer) []ctid.Control {
	var names []ctid.Control
	for _, v := range voters {
		names = append(names, v.Name)
	}
	return names
}

// bootstrapIncarnation is the incarnation of the first voters of a new fleet.
const bootstrapIncarnation = 1

// loadOrBootstrapSelf returns the identity of the process. On an empty disk it writes the
// state of a first voter if a new fleet starts and the process is one of its seeds.
// Otherwise it creates an identity with a new incarnation.
func loadOrBootstrapSelf(d *disk, options ServiceOptions) (ctquorum.Peer, error) {
	self, found, err := d.loadSelf()
	if err != nil || found {
		return self, err
	}
	var voters []ctquorum.Peer
	isSeed := false
	for _, name := range options.Seeds {
		voters = append(voters, ctquorum.Peer{Name: name, Incarnation: bootstrapIncarnation})
		isSeed = isSeed || name == options.Name
	}
	if !options.Bootstrap || !isSeed {
		return d.loadOrCreateSelf(options.Name, time.Now())
	}
	self = ctquorum.Peer{Name: options.Name, Incarnation: bootstrapIncarnation}
	first := ctquorum.BootstrapVoters(voters)
	if err := d.write(ctquorum.Persist{Epoch: first.Epoch, FirstIndex: 1, Entries: first.Entries}); err != nil {
		return self, err
	}
	return self, d.writeSelf(self)
}

// Start loads the durable state and joins the other processes of control until ctx ends.
// Nothing may be served before Start has returned.
func (s *Service) Start(ctx context.Context) error {
	s.Logger.Info().Str("event", "journal_open").Send()
	if err := s.replica.Start(ctx, s.control, systemRandom{}); err != nil {
		return err
	}
	go s.control.Run(ctx)
	go s.announcements.run(ctx)
	go s.reports.run(ctx)
	go s.reportSettled(ctx)
	go s.serveOffers(ctx)
	go s.followLeader(ctx)
	s.Logger.Info().Str("event", "started").Str("name", string(s.Name)).
		Uint64("incarnation", uint64(s.replica.self.Incarnation)).Send()
	return nil
}

// Wait waits until ctx ends, and returns nil, or until the disk or the state machine
// fails.
func (s *Service) Wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-s.replica.Failed():
		return err
	}
}

// SetSeeds replaces the control processes to contact first.
func (s *Service) SetSeeds(seeds []ctid.Control) {
	var held ctlock.Held
	s.replica.SetSeeds(&held, seeds)
	s.admission.With(&held, func(a *admission) { a.seeds = seeds })
}

// handleFrame returns the reply to a request and records the request in the metrics. from is
// the stream on which it arrived, or nil for a request of this process.
func (s *Service) handleFrame(
	ctx context.Context, held *ctlock.Held, from *peer, frame ctframe.Frame,
) ctframe.Frame {
	start := s.Clock.Now()
	reply := s.dispatch(ctx, held, from, frame)
	name, result := strings.TrimPrefix(fmt.Sprintf("%T", frame), "*ctframe."), "answered"
	switch a := reply.(type) {
	case *ctframe.ErrorReply:
		result = a.Kind
	case *ctframe.ReportReply:
		if a.NotLeader {
			result = "unready"
		}
	case *ctframe.Retry:
		result = "deferred"
	}
	s.Metrics.Replies.WithLabelValues(name, result).Inc()
	s.Metrics.ReplySeconds.WithLabelValues(name).Observe(s.Clock.Now().Sub(start).Seconds())
	return reply
}

// dispatch returns the reply to a request. A process that does not lead returns an error
// reply, or a report reply with NotLeader set.
func (s *Service) dispatch(
	ctx context.Context, held *ctlock.Held, from *peer, frame ctframe.Frame,
) ctframe.Frame {
	switch f := frame.(type) {
	case *ctframe.Report:
		return s.handleReport(ctx, held, from, &f.Report)
	case *ctframe.ReportBatch:
		return s.handleReportBatch(held, f)
	case *ctframe.Watch:
		return s.handleWatch(ctx, held, from, f)
	case *ctframe.Publish:
		from.releaseSlot()
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		return replyOrError(s.control.Publish(ctx, held, f), &ctframe.PublishReply{})
	case *ctframe.Recall:
		release, source, err := s.control.CurrentConfig(held)
		return replyOrError(err, &ctframe.RecallReply{Release: release, Source: source})
	case *ctframe.Heard:
		from.releaseSlot()
		return replyOrError(s.control.ApplyAnnouncement(ctx, held, f), &ctframe.Ack{})
	case *ctframe.Settled:
		reply, err := s.control.ApplySettled(held, f)
		return replyOrError(err, reply)
	case *ctframe.FetchOffers:
		reply, err := s.control.FetchOffers(held, f)
		return replyOrError(err, reply)
	case *ctframe.ReportOffer:
		s.control.ReportOffer(held, f)
		return &ctframe.Ack{}
	case *ctframe.Gathered:
		from.releaseSlot()
		return replyOrError(s.control.ApplyAnnouncements(ctx, held, f.Announcements), &ctframe.Ack{})
	}
	return &ctframe.ErrorReply{Kind: cterror.Invalid.String(), Message: "control does not serve this frame"}
}

// handleReportBatch returns the replies to reports that another control process forwards.
func (s *Service) handleReportBatch(held *ctlock.Held, batch *ctframe.ReportBatch) ctframe.Frame {
	reply := s.control.HandleReportBatch(held, batch)
	if reply == nil {
		return &ctframe.ErrorReply{Kind: cterror.Unavailable.String(), Message: notLeadingError().Error()}
	}
	return reply
}

// replyOrError returns the reply, or an error reply if err is not nil.
func replyOrError(err error, reply ctframe.Frame) ctframe.Frame {
	if err == nil {
		return reply
	}
	return &ctframe.ErrorReply{Kind: cterror.KindOf(err).String(), Message: err.Error()}
}
