package ctcontrol

import (
	"context"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/fleet/ctmirror"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

const (
	// followTimeout bounds a watch of the leader's view with its reply.
	followTimeout = serviceWatchTimeout + 700*time.Millisecond
	// followRetryDelay is the pause after a watch of the leader's view has failed, and
	// while this process leads.
	followRetryDelay = 100 * time.Millisecond
)

// viewRelay answers the watches of proxies from a mirror of the leader's view. Use
// newViewRelay to create one.
type viewRelay struct {
	state cttable.Cell[relayedView]
}

// relayedView is the mirror and the calls that wait for a newer view.
type relayedView struct {
	mirror   ctmirror.Mirror
	watchers watchers
}

func newViewRelay() *viewRelay {
	return &viewRelay{state: cttable.Cell[relayedView]{Rank: ctlock.RankAnnouncements}}
}

// view returns the newest view that is known here.
func (r *viewRelay) view(held *ctlock.Held) *ctview.View {
	var view *ctview.View
	r.state.With(held, func(s *relayedView) { view = s.mirror.View() })
	return view
}

// applyGroups applies groups that are ahead of the view, and returns the view with them.
func (r *viewRelay) applyGroups(held *ctlock.Held, groups []ctview.Group) *ctview.View {
	var current *ctview.View
	r.state.With(held, func(s *relayedView) {
		s.mirror.ApplyGroups(groups)
		current = s.mirror.Current()
	})
	return current
}

// apply applies the delta in a reply of the leader, and wakes the watches if the view is
// newer now.
func (r *viewRelay) apply(held *ctlock.Held, reply *ctframe.ReportReply) error {
	delta, err := reply.WholeDelta()
	if err != nil {
		return err
	}
	r.state.With(held, func(s *relayedView) {
		if delta == nil {
			return
		}
		var newer bool
		if newer, err = s.mirror.Apply(delta); newer {
			s.watchers.wake()
		}
	})
	return err
}

// wakeAll makes all watches ask again, because another process answers them now.
func (r *viewRelay) wakeAll(held *ctlock.Held) {
	r.state.With(held, func(s *relayedView) { s.watchers.wake() })
}

// watch waits for a view that is newer than the given version, until ctx ends or it is
// woken. It returns the delta to it, or nil.
func (r *viewRelay) watch(
	ctx context.Context, held *ctlock.Held, version ctview.Version, revision ctid.Revision,
) *ctview.Delta {
	var delta *ctview.Delta
	var woken chan struct{}
	r.state.With(held, func(s *relayedView) {
		if delta = s.mirror.DeltaSince(version, revision); delta == nil {
			woken = s.watchers.add()
		}
	})
	if delta != nil {
		return delta
	}
	select {
	case <-woken:
	case <-ctx.Done():
	}
	r.state.With(held, func(s *relayedView) {
		s.watchers.remove(woken)
		delta = s.mirror.DeltaSince(version, revision)
	})
	return delta
}

// followLeader keeps the mirror up to date while another process leads, until ctx ends.
func (s *Service) followLeader(ctx context.Context) {
	var held ctlock.Held
	for ctx.Err() == nil {
		if err := s.followOnce(ctx, &held); err == nil {
			continue
		}
		select {
		case <-ctx.Done():
		case <-s.Clock.After(followRetryDelay):
		}
	}
}

// followOnce waits for a newer view of the leader and applies it. While this process leads
// itself, it does nothing but to end the waits of watches that began before.
func (s *Service) followOnce(ctx context.Context, held *ctlock.Held) error {
	if _, self := s.control.Leader(held); self {
		s.views.wakeAll(held)
		return notFollowingError()
	}
	view := s.views.view(held)
	watch := &ctframe.Watch{Version: view.Version, Revision: view.Config.Revision, Mirror: true}
	answer, err := s.callLeaderWithin(ctx, followTimeout, watch)
	if err != nil {
		return err
	}
	reply, ok := answer.(*ctframe.ReportReply)
	if !ok {
		return unexpectedReplyError()
	}
	if reply.NotLeader {
		return notLeadingError()
	}
	return s.views.apply(held, reply)
}

// watchView waits for a view that is newer than that of a proxy: at this process if it
// leads, and at the mirror otherwise. A process that has not joined sends the proxy to another one.
func (s *Service) watchView(ctx context.Context, held *ctlock.Held, f *ctframe.Watch) *ctview.Reply {
	reply := s.control.Watch(ctx, held, f.Version, f.Revision)
	if !reply.NotLeader || s.replica.Unjoined() {
		return reply
	}
	return &ctview.Reply{Delta: s.views.watch(ctx, held, f.Version, f.Revision)}
}

// notFollowingError returns the error of a process that has no leader to follow.
func notFollowingError() error {
	return cterror.New(cterror.Unavailable, "this control process leads", "use its own view")
}
