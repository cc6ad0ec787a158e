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

// The bounds of what one control process asks another one.
const (
	// forwardTime bounds a question to the leader, the opening of a way included.
	forwardTime = 900 * time.Millisecond
	// leaderOpenTime bounds the opening of a way to the leader.
	leaderOpenTime = 300 * time.Millisecond
	// leaderPause is the time between two looks whether there is a leader.
	leaderPause = 20 * time.Millisecond
	// maxIdleWays is how many ways to the leader are kept for later questions.
	maxIdleWays = 4
)

// Publish puts a numbered configuration into force. One that was overtaken needs no
// leader to say so.
func (s *Service) Publish(ctx context.Context, release ctid.Release, source []byte) error {
	var held ctlock.Held
	if s.control.HasRelease(&held, release) {
		return nil
	}
	packed, err := ctframe.Compress(source)
	if err != nil {
		return err
	}
	_, err = s.ask(ctx, &ctframe.Publish{Release: release, Source: packed})
	return err
}

// CurrentConfig returns the configuration in force as the operator wrote it.
func (s *Service) CurrentConfig(ctx context.Context) (ctid.Release, []byte, error) {
	answer, err := s.ask(ctx, &ctframe.Recall{})
	if err != nil {
		return 0, nil, err
	}
	recalled, ok := answer.(*ctframe.RecallReply)
	if !ok {
		return 0, nil, unexpected()
	}
	if recalled.Release == 0 && len(recalled.Source) == 0 {
		return 0, nil, nil
	}
	source, err := ctframe.Decompress(recalled.Source)
	return recalled.Release, source, err
}

// Announce takes what a member said of itself.
func (s *Service) Announce(ctx context.Context, announced ctserver.Announcement) error {
	return s.relay.hear(ctx, announced)
}

// tell tells the leader something that has no answer but that it was taken.
func (s *Service) tell(ctx context.Context, frame ctframe.Frame) error {
	_, err := s.ask(ctx, frame)
	return err
}

// DeregisterMember takes out a member that has ended.
func (s *Service) DeregisterMember(ctx context.Context, member ctid.Member) error {
	return s.tell(ctx, &ctframe.Heard{Announcement: ctserver.Announcement{Member: member}, Deregistered: true})
}

// ask asks the leader, which may be this process.
func (s *Service) ask(ctx context.Context, frame ctframe.Frame) (ctframe.Frame, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTime)
	defer cancel()
	var held ctlock.Held
	leader, self := s.awaitLeader(ctx, &held)
	if self {
		return check(s.answer(ctx, &held, frame))
	}
	address, ok := s.Resolve(leader)
	if leader == "" || leader == s.Name || !ok {
		return nil, cterror.New(cterror.Unavailable, "no control process leads now", "try again in a second")
	}
	way, fresh, err := s.take(ctx, leader, address)
	if err != nil {
		return nil, err
	}
	answer, err := ctframe.Call(ctx, way, frame)
	if err != nil && !fresh {
		// The leader's process may have ended since the way was used last. What is
		// asked may be asked twice.
		way.Close()
		if way, err = s.open(ctx, address); err != nil {
			return nil, err
		}
		answer, err = ctframe.Call(ctx, way, frame)
	}
	if err != nil {
		way.Close()
		return nil, cterror.Wrap(cterror.Unavailable, err, "ask control's leader", "try again in a second")
	}
	s.keep(leader, way)
	return check(answer)
}

// awaitLeader waits a little for a leader, where none is known: an election takes
// less time than whoever asks is ready to wait.
func (s *Service) awaitLeader(ctx context.Context, held *ctlock.Held) (leader ctid.Control, self bool) {
	for {
		leader, self = s.control.Leader(held)
		if self || (leader != "" && leader != s.Name) {
			return leader, self
		}
		select {
		case <-ctx.Done():
			return leader, self
		case <-s.Clock.After(leaderPause):
		}
	}
}

// check turns a fault into an error.
func check(answer ctframe.Frame) (ctframe.Frame, error) {
	if fault, ok := answer.(*ctframe.ErrorReply); ok {
		return nil, cterror.New(cterror.Unavailable, fault.Message, "try again in a second")
	}
	return answer, nil
}

func unexpected() error {
	return cterror.New(cterror.Unavailable, "control gave another answer", "check that all processes have one version")
}

// take returns an idle way to the leader, or opens a fresh one.
func (s *Service) take(
	ctx context.Context, leader ctid.Control, address netip.AddrPort,
) (way ctframe.Stream, fresh bool, err error) {
	if way = s.takeIdle(leader); way != nil {
		return way, false, nil
	}
	way, err = s.open(ctx, address)
	return way, true, err
}

// takeIdle returns an idle way to the leader, or nil.
func (s *Service) takeIdle(leader ctid.Control) ctframe.Stream {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	idle := s.idle[leader]
	if len(idle) == 0 {
		return nil
	}
	last := len(idle) - 1
	way := idle[last]
	s.idle[leader] = idle[:last]
	return way
}

func (s *Service) open(ctx context.Context, address netip.AddrPort) (ctframe.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderOpenTime)
	defer cancel()
	return s.Transport.Open(ctx, address)
}

// keep keeps a way for later questions.
func (s *Service) keep(leader ctid.Control, way ctframe.Stream) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.idle[leader]) >= maxIdleWays {
		way.Close()
		return
	}
	s.idle[leader] = append(s.idle[leader], way)
}
