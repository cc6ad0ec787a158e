package ctcontrol

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctpromotion"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// settleInterval is the interval in which a process reports the promotions whose requests
// have ended.
const settleInterval = 500 * time.Millisecond

// endedPromotions returns the promotions of this process's own epochs, by group, whose requests
// have ended, and the groups whose requester it need not be any more.
func (c *Control) endedPromotions(held *ctlock.Held) []*ctframe.Settled {
	var ended []*ctframe.Settled
	c.state.With(held, func(l *leaderState) {
		now := c.Clock.Now()
		for _, name := range slices.Sorted(maps.Keys(l.register.Groups)) {
			frame := l.closePromotions(now, l.register.Groups[name])
			frame.Released = c.releaseRequester(now, l, l.register.Groups[name])
			if len(frame.Ended)+len(frame.Void) > 0 || !frame.Released.IsZero() {
				ended = append(ended, frame)
			}
		}
	})
	return ended
}

// closePromotions closes those unsettled promotions of a group to further requests whose
// requests have ended, and returns them.
func (l *leaderState) closePromotions(now time.Time, group ctview.Group) *ctframe.Settled {
	frame := &ctframe.Settled{Group: group.Name}
	for _, p := range group.Unsettled {
		var observedAt time.Time
		if l.leading && ctquorum.Epoch(p.Epoch) == l.epoch {
			if group.ChangingPrimary() && group.Candidate == p.Member {
				continue
			}
			if machine, ok := l.successions[group.Name]; ok {
				observedAt = machine.PromotedAt(group, p.Member)
			}
		}
		switch l.ledger.Close(now, ctpromotion.Key{Group: group.Name, Promotion: p}, observedAt).(type) {
		case ctpromotion.Void:
			frame.Void = append(frame.Void, p)
		case ctpromotion.Ended:
			frame.Ended = append(frame.Ended, p)
		}
	}
	return frame
}

// releaseRequester returns the requester of a group if that is this process, none of its requests
// is on its way and it sends no more, and the zero value otherwise. A leader that changes the
// group's primary stays the requester, unless it ended its part before.
func (c *Control) releaseRequester(now time.Time, l *leaderState, group ctview.Group) ctview.Requester {
	requester := group.Requester
	stays := l.leading && group.ChangingPrimary() && !l.requests.Released(group.Name, requester)
	if requester.Control != c.Name || stays || !l.requests.Release(now, group.Name, requester) {
		return ctview.Requester{}
	}
	return requester
}

// ApplySettled releases the requester and settles the promotions without effect. The succession
// settles the others once their members' statuses show that they have had no effect since.
func (c *Control) ApplySettled(held *ctlock.Held, settled *ctframe.Settled) (*ctframe.SettledReply, error) {
	reply := &ctframe.SettledReply{}
	err := c.withAuthority(held, func(now time.Time, l *leaderState) {
		if machine, ok := l.successions[settled.Group]; ok {
			machine.RecordEnded(now, settled.Ended)
			reply.Mark = machine.Mark()
			if release, ok := machine.Release(l.group(settled.Group), settled.Released, settled.Mark); ok {
				c.proposeRelease(l, settled.Group, release)
			}
		}
		if len(settled.Void) > 0 {
			c.propose(l, ctregister.SettlePromotions{
				Group: settled.Group, Promotions: settled.Void, Reason: string(ctsuccession.ReasonAnswered),
			}, nil)
		}
	})
	return reply, err
}

// proposeRelease proposes to release a group's requester.
func (c *Control) proposeRelease(l *leaderState, group ctid.Group, release ctsuccession.ReleaseRequester) {
	c.propose(l, ctregister.ReleaseRequester{
		Group: group, Requester: release.Requester, Reason: string(release.Reason),
	}, nil)
}

// reportSettled tells the leader for which promotions the requests of this process have ended,
// and which groups it has ended its part in, until ctx ends. The leader may be this process.
func (s *Service) reportSettled(ctx context.Context) {
	var held ctlock.Held
	marks := make(map[ctid.Group]ctsuccession.Mark)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Clock.After(settleInterval):
		}
		for _, settled := range s.control.endedPromotions(&held) {
			if err := s.sendSettled(ctx, settled, marks); err != nil {
				// Sent again after settleInterval, while the register lists them.
				break
			}
		}
	}
}

// sendSettled sends a frame to the leader, a second time if only the reply shows the mark that the
// leader accepts.
func (s *Service) sendSettled(
	ctx context.Context, settled *ctframe.Settled, marks map[ctid.Group]ctsuccession.Mark,
) error {
	for range 2 {
		settled.Mark = marks[settled.Group]
		reply, err := s.retryLeader(ctx, forwardTimeout, settled)
		if err != nil {
			return err
		}
		answer, ok := reply.(*ctframe.SettledReply)
		if !ok {
			return unexpectedReplyError()
		}
		marks[settled.Group] = answer.Mark
		if settled.Released.IsZero() || answer.Mark == settled.Mark {
			return nil
		}
	}
	return nil
}

// logReleased logs that a group has no requester any more.
func (c *Control) logReleased(released ctregister.RequesterReleased, reason string) {
	ctlog.Decision(&c.Logger, "release_requester").
		Str("group", string(released.Name)).
		Str("requester", string(released.Requester.Control)).
		Uint64("requester_epoch", uint64(released.Requester.Epoch)).
		Str("why", reason).
		Send()
}

// logSettled logs that promotions of a group are settled.
func (c *Control) logSettled(settled ctregister.PromotionsSettled, reason string) {
	for _, p := range settled.Promotions {
		c.Metrics.PromotionsSettled.WithLabelValues(reason).Inc()
		ctlog.Decision(&c.Logger, "settle_promotion").
			Str("group", string(settled.Name)).
			Str("member", string(p.Member)).
			Uint64("epoch", uint64(p.Epoch)).
			Uint64("number", uint64(p.Number)).
			Str("why", reason).
			Send()
	}
}
