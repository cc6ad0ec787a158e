package ctcontrol

import (
	"context"
	"net/netip"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

const (
	// forwardTimeout bounds a request to the leader, including the wait for a leader and
	// the opening of a stream.
	forwardTimeout = 900 * time.Millisecond
	// leaderOpenTimeout bounds the opening of a stream to the leader.
	leaderOpenTimeout = 300 * time.Millisecond
	// leaderRetryDelay is the pause after the leader could not be reached or could not
	// serve a request.
	leaderRetryDelay = 50 * time.Millisecond
	// leaderPollInterval is how often awaitLeader checks for a leader.
	leaderPollInterval = 20 * time.Millisecond
	// maxIdleStreams is how many idle streams to the leader are retained for reuse.
	maxIdleStreams = 4
)

// Publish puts a configuration with an operator's number into force. It returns at once,
// without a request to the leader, if this or a higher number is known to be durable.
func (s *Service) Publish(ctx context.Context, release ctid.Release, source []byte) error {
	var held ctlock.Held
	if s.control.HasRelease(&held, release) {
		return nil
	}
	compressed, err := ctframe.Compress(source)
	if err != nil {
		return err
	}
	_, err = s.callLeader(ctx, &ctframe.Publish{Release: release, Source: compressed})
	return err
}

// CurrentConfig returns the configuration in force in the operator's text. Both results
// are zero if there is none.
func (s *Service) CurrentConfig(ctx context.Context) (ctid.Release, []byte, error) {
	reply, err := s.callLeader(ctx, &ctframe.Recall{})
	if err != nil {
		return 0, nil, err
	}
	current, ok := reply.(*ctframe.RecallReply)
	if !ok {
		return 0, nil, unexpectedReplyError()
	}
	if current.Release == 0 && len(current.Source) == 0 {
		return 0, nil, nil
	}
	source, err := ctframe.Decompress(current.Source)
	return current.Release, source, err
}

// Announce applies a member's announcement. It returns once the leader has accepted it.
// An unchanged announcement is accepted here and sent to the leader with the next batch. A
// process that has not joined returns an error.
func (s *Service) Announce(ctx context.Context, announcement ctserver.Announcement) error {
	if s.replica.Unjoined() {
		return unjoinedError()
	}
	return s.announcements.announce(ctx, announcement)
}

// sendToLeader sends a frame to the leader and waits for the acknowledgement.
func (s *Service) sendToLeader(ctx context.Context, frame ctframe.Frame) error {
	_, err := s.retryLeader(ctx, forwardTimeout, frame)
	return err
}

// retryLeader sends a request to the leader until it replies, or until the timeout. An
// error that is returned at once would make thousands of members and proxies ask all
// processes one after another, and a leader that has lost its authority for a moment
// would not regain it under that load.
func (s *Service) retryLeader(
	ctx context.Context, timeout time.Duration, frame ctframe.Frame,
) (ctframe.Frame, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		reply, err := s.callLeaderWithin(ctx, timeout, frame)
		if err == nil || cterror.KindOf(err) == cterror.Invalid || s.replica.Unjoined() {
			return reply, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-s.Clock.After(leaderRetryDelay):
		}
	}
}

// DeregisterMember removes a member whose process has ended.
func (s *Service) DeregisterMember(ctx context.Context, member ctid.Member) error {
	return s.sendToLeader(ctx, &ctframe.Heard{Announcement: ctserver.Announcement{Member: member}, Deregistered: true})
}

// callLeader sends a request to the leader, which may be this process, and returns the
// reply.
func (s *Service) callLeader(ctx context.Context, frame ctframe.Frame) (ctframe.Frame, error) {
	return s.callLeaderWithin(ctx, forwardTimeout, frame)
}

// callLeaderWithin is callLeader with another timeout.
func (s *Service) callLeaderWithin(
	ctx context.Context, timeout time.Duration, frame ctframe.Frame,
) (ctframe.Frame, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var held ctlock.Held
	leader, self := s.awaitLeader(ctx, &held)
	if self {
		return checkReply(s.handleFrame(ctx, &held, nil, frame))
	}
	if leader == "" && s.replica.Unjoined() {
		return nil, unjoinedError()
	}
	address, ok := s.Resolve(leader)
	if leader == "" || leader == s.Name || !ok {
		return nil, cterror.New(cterror.Unavailable, "no control process leads now", "try again in a second")
	}
	stream, fresh, err := s.acquireStream(ctx, leader, address)
	if err != nil {
		return nil, err
	}
	reply, err := ctframe.Call(ctx, stream, frame)
	if err != nil && !fresh && repeatable(frame) {
		// The leader's process may have ended since the stream was last used.
		stream.Close()
		if stream, err = s.openStream(ctx, address); err != nil {
			return nil, err
		}
		reply, err = ctframe.Call(ctx, stream, frame)
	}
	if err != nil {
		stream.Close()
		return nil, cterror.Wrap(cterror.Unavailable, err, "ask control's leader", "try again in a second")
	}
	s.releaseStream(leader, stream)
	return checkReply(reply)
}

// repeatable reports whether a request may be sent again: it is idempotent. An offer is handed
// out once, so that the leader would count those of the first request as sent.
func repeatable(frame ctframe.Frame) bool {
	_, fetch := frame.(*ctframe.FetchOffers)
	return !fetch
}

// awaitLeader waits until a leader is known or ctx ends. An election usually completes
// within the caller's timeout. A process that has not joined does not wait.
func (s *Service) awaitLeader(ctx context.Context, held *ctlock.Held) (leader ctid.Control, self bool) {
	for {
		leader, self = s.control.Leader(held)
		if self || (leader != "" && leader != s.Name) || s.replica.Unjoined() {
			return leader, self
		}
		select {
		case <-ctx.Done():
			return leader, self
		case <-s.Clock.After(leaderPollInterval):
		}
	}
}

// checkReply turns an error reply into an error.
func checkReply(reply ctframe.Frame) (ctframe.Frame, error) {
	if failure, ok := reply.(*ctframe.ErrorReply); ok {
		return nil, cterror.New(cterror.Unavailable, failure.Message, "try again in a second")
	}
	return reply, nil
}

// notLeadingError returns the error of a process that is not the leader.
func notLeadingError() error {
	return cterror.New(cterror.Unavailable, "this control process does not lead", "try again in a second")
}

// unjoinedError returns the error of a process that has not joined the others.
func unjoinedError() error {
	return cterror.New(
		cterror.Unavailable, "this control process has not joined the others", "use another control process")
}

func unexpectedReplyError() error {
	return cterror.New(cterror.Unavailable, "control gave another answer", "check that all processes have one version")
}

// acquireStream returns an idle stream to the leader, or opens a fresh one. The caller
// owns the stream until it closes or releases it.
func (s *Service) acquireStream(
	ctx context.Context, leader ctid.Control, address netip.AddrPort,
) (stream ctframe.Stream, fresh bool, err error) {
	if stream = s.popIdleStream(leader); stream != nil {
		return stream, false, nil
	}
	stream, err = s.openStream(ctx, address)
	return stream, true, err
}

// popIdleStream removes an idle stream to the leader and returns it, or nil if there is
// none.
func (s *Service) popIdleStream(leader ctid.Control) ctframe.Stream {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	idle := s.idleStreams[leader]
	if len(idle) == 0 {
		return nil
	}
	last := len(idle) - 1
	stream := idle[last]
	s.idleStreams[leader] = idle[:last]
	return stream
}

func (s *Service) openStream(ctx context.Context, address netip.AddrPort) (ctframe.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderOpenTimeout)
	defer cancel()
	return s.Transport.Open(ctx, address)
}

// releaseStream retains a stream for reuse, or closes it if enough are idle.
func (s *Service) releaseStream(leader ctid.Control, stream ctframe.Stream) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.idleStreams[leader]) >= maxIdleStreams {
		stream.Close()
		return
	}
	s.idleStreams[leader] = append(s.idleStreams[leader], stream)
}
