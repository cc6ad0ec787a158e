package ctcontrol

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/state/ctjournal"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// The times of what a leader answers.
const (
	// serviceWatchTimeout is how long a watch is held before it is answered with nothing.
	serviceWatchTimeout = 1500 * time.Millisecond
	// serviceReportTimeout is how long a proxy may go unheard of before its share of the
	// connections goes to others.
	serviceReportTimeout = 3 * time.Second
)

// ServiceOptions are the parts and settings of a Service.
type ServiceOptions struct {
	// Name is the process's name, from which others find its address.
	Name ctid.Control
	// Seeds are control processes to ask first; they may be gone.
	Seeds []ctid.Control
	// Bootstrap reports whether the whole fleet starts for the first time: the seeds
	// are the voters then.
	Bootstrap bool
	// MaxDiskLosses is how many disks may be lost at once.
	MaxDiskLosses int
	// ApplyTimeout is how long after its acceptance a configuration must be in force
	// everywhere; 0 where proxies may be late.
	ApplyTimeout time.Duration
	Journal      *ctjournal.Journal
	Transport    ctframe.Transport
	// Resolve finds the address of a process by its name.
	Resolve  func(ctid.Control) (netip.AddrPort, bool)
	Members  MemberClient
	Promoter Promoter
	// DecodeConfig decodes a configuration as operators write it.
	DecodeConfig func(source []byte) (ctconfig.Document, error)
	Clock        ctclock.Clock
	Logger       zerolog.Logger
	Metrics      *ctmetric.Control
}

// Service is a control process whose transport and operators' interface are
// given to it. Whichever process is asked, the leader answers.
type Service struct {
	ServiceOptions

	control       *Control
	replica       *Replica
	announcements *relay

	mutex       sync.Mutex
	idleStreams map[ctid.Control][]ctframe.Stream
	// compressed holds compressed configurations.
	compressed map[compressionKey][]byte
}

// NewService returns a service with the state of its disk.
func NewService(options ServiceOptions) (*Service, error) {
	d := &disk{store: options.Journal}
	self, err := loadOrBootstrapSelf(d, options)
	if err != nil {
		return nil, err
	}
	replica := &Replica{
		self:      self,
		disk:      d,
		transport: options.Transport,
		resolve:   options.Resolve,
		minVoters: 2*options.MaxDiskLosses + 1,
		clock:     options.Clock,
		logger:    options.Logger,
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
		Members:       options.Members,
		Promoter:      options.Promoter,
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
	s.announcements = newRelay(options.Clock, s.sendToLeader)
	return s, nil
}

func voterNames(voters []ctquorum.Peer) []ctid.Control {
	var names []ctid.Control
	for _, v := range voters {
		names = append(names, v.Name)
	}
	return names
}

// bootstrapIncarnation is that of the voters of a new fleet.
const bootstrapIncarnation = 1

// loadOrBootstrapSelf returns who the process is. An empty disk gets the state of a voter of
// a new fleet, where the process is one, and otherwise a new incarnation.
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

// Start reads the disk and begins to take part in control, until ctx ends. Nothing
// may be served before it has returned.
func (s *Service) Start(ctx context.Context) error {
	s.Logger.Info().Str("event", "journal_open").Send()
	if err := s.replica.Start(ctx, s.control, systemRandom{}); err != nil {
		return err
	}
	go s.control.Run(ctx)
	go s.announcements.run(ctx)
	s.Logger.Info().Str("event", "started").Str("name", string(s.Name)).
		Uint64("incarnation", uint64(s.replica.self.Incarnation)).Send()
	return nil
}

// Wait waits until ctx ends or the disk fails.
func (s *Service) Wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-s.replica.Failed():
		return err
	}
}

// SetSeeds replaces the control processes to ask first.
func (s *Service) SetSeeds(seeds []ctid.Control) {
	var held ctlock.Held
	s.replica.SetSeeds(&held, seeds)
}

// Serve serves one way of another process.
func (s *Service) Serve(ctx context.Context, stream ctframe.Stream) {
	s.replica.serveStream(ctx, stream, s.handleFrame)
}

// handleFrame answers a question, as the leader, and counts it.
func (s *Service) handleFrame(ctx context.Context, held *ctlock.Held, frame ctframe.Frame) ctframe.Frame {
	start := s.Clock.Now()
	reply := s.dispatch(ctx, held, frame)
	name, result := strings.TrimPrefix(fmt.Sprintf("%T", frame), "*ctframe."), "answered"
	switch a := reply.(type) {
	case *ctframe.ErrorReply:
		result = a.Kind
	case *ctframe.ReportReply:
		if a.NotLeader {
			result = "unready"
		}
	}
	s.Metrics.Replies.WithLabelValues(name, result).Inc()
	s.Metrics.ReplySeconds.WithLabelValues(name).Observe(s.Clock.Now().Sub(start).Seconds())
	return reply
}

// dispatch answers a question, as the leader.
func (s *Service) dispatch(ctx context.Context, held *ctlock.Held, frame ctframe.Frame) ctframe.Frame {
	switch f := frame.(type) {
	case *ctframe.Report:
		reply := s.control.HandleReport(held, &f.Report)
		s.setLeaderAddress(held, &reply.LeaderAddress)
		return s.replyFrame(reply)
	case *ctframe.Watch:
		ctx, cancel := context.WithTimeout(ctx, serviceWatchTimeout)
		defer cancel()
		reply := s.control.Watch(ctx, held, f.Version, f.Revision)
		s.setLeaderAddress(held, &reply.LeaderAddress)
		return s.replyFrame(reply)
	case *ctframe.Publish:
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		return replyOrError(s.control.Publish(ctx, held, f), &ctframe.PublishReply{})
	case *ctframe.Recall:
		release, source, err := s.control.CurrentConfig(held)
		return replyOrError(err, &ctframe.RecallReply{Release: release, Source: source})
	case *ctframe.Heard:
		return replyOrError(s.control.ApplyAnnouncement(held, f), &ctframe.Ack{})
	case *ctframe.Gathered:
		return replyOrError(s.control.ApplyAnnouncements(held, f.Announcements), &ctframe.Ack{})
	}
	return &ctframe.ErrorReply{Kind: cterror.Invalid.String(), Message: "control does not serve this frame"}
}

// setLeaderAddress sets where the leader is reached, where that is another process.
func (s *Service) setLeaderAddress(held *ctlock.Held, address **netip.AddrPort) {
	leader, self := s.control.Leader(held)
	if self || leader == "" || leader == s.Name {
		return
	}
	if found, ok := s.Resolve(leader); ok {
		*address = &found
	}
}

func replyOrError(err error, reply ctframe.Frame) ctframe.Frame {
	if err == nil {
		return reply
	}
	return &ctframe.ErrorReply{Kind: cterror.KindOf(err).String(), Message: err.Error()}
}
