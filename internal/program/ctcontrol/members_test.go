package ctcontrol

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctrecord"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// sharedLog commits what the leader of two control processes proposes, on both, unless it is held.
type sharedLog struct {
	t         *testing.T
	leader    *Control
	follower  *Control
	proposals chan proposedCommand
	held      bool
	index     ctquorum.Index
}

type proposedCommand struct {
	id   ctquorum.ProposalID
	data []byte
}

// Propose implements Proposer.
func (s *sharedLog) Propose(id ctquorum.ProposalID, data []byte) {
	s.proposals <- proposedCommand{id: id, data: data}
}

// run commits proposals until ctx ends.
func (s *sharedLog) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-s.proposals:
			if !s.held {
				s.commit(p)
			}
		}
	}
}

func (s *sharedLog) commit(p proposedCommand) {
	s.index++
	for _, c := range []*Control{s.leader, s.follower} {
		assert.Check(s.t, c.Apply(s.index, p.data))
	}
	s.leader.CompleteProposal(p.id, s.index)
}

// newSharedLog returns a leader and a follower that know the members a, b and c of the group g.
// If held is set, nothing is committed.
func newSharedLog(t *testing.T, held bool) *sharedLog {
	t.Helper()
	s := &sharedLog{t: t, proposals: make(chan proposedCommand, 64), held: held}
	for _, p := range []**Control{&s.leader, &s.follower} {
		*p = New(Options{Name: "x", Clock: ctclock.System{}})
		(*p).SetProposer(s)
	}
	groups := []ctconfig.Group{{Name: "g", Promotion: ctconfig.PromotionExternal}}
	var members []ctserver.Announcement
	for _, name := range []ctid.Member{"a", "b", "c"} {
		members = append(members, announcementOf(name, 1))
	}
	for _, command := range []ctregister.Command{
		ctregister.Configure{Change: ctconfig.Change{
			ID: "first", Author: "lab", Document: ctconfig.Document{Groups: groups}}},
		ctregister.SetGroup{Group: ctview.Group{Name: "g", Term: 1, Primary: "a"}},
		ctregister.SetMembers{Members: members},
	} {
		data, err := ctrecord.EncodeCommand(command)
		assert.NilError(t, err)
		s.commit(proposedCommand{data: data})
	}
	s.leader.BecomeLeader(2)
	s.leader.SetAuthority(time.Now().Add(time.Hour))
	go s.run(t.Context())
	go s.leader.memberSaves.run(t.Context())
	return s
}

// announcementOf returns the announcement of a run of a replica.
func announcementOf(name ctid.Member, run ctid.Incarnation) ctserver.Announcement {
	return ctserver.Announcement{
		Group: "g", Member: name, FailureDomain: "d", Incarnation: run, Role: ctserver.RoleReplica,
		State: ctserver.StateReady, Term: 1, Slots: 2, Connections: 4,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, name[0]}), 1),
	}
}

// TestMembersAreDurableBeforeTheyAreConfirmed guards against acknowledged commits that are lost
// after a change of leader: it was confirmed to a member that it has joined, has started again
// without its log or has ended, and the next leader doesn't know that.
func TestMembersAreDurableBeforeTheyAreConfirmed(t *testing.T) {
	replacement := announcementOf("d", 2)
	replacement.Address = announcementOf("b", 1).Address
	for _, c := range []struct {
		name  string
		heard ctframe.Heard
		lost  []ctid.Member
	}{
		{"a member that joins", ctframe.Heard{Announcement: announcementOf("d", 1)}, nil},
		{"a member that has started again", ctframe.Heard{Announcement: announcementOf("b", 2)}, []ctid.Member{"b"}},
		{"a member that replaces another one", ctframe.Heard{Announcement: replacement}, []ctid.Member{"b"}},
		{"a member that has ended", ctframe.Heard{
			Announcement: ctserver.Announcement{Member: "b"}, Deregistered: true}, []ctid.Member{"b"}},
	} {
		apply := func(s *sharedLog) error {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			var held ctlock.Held
			return s.leader.ApplyAnnouncement(ctx, &held, &c.heard)
		}
		t.Run(c.name+" is not confirmed before it is durable, however often it calls", func(t *testing.T) {
			s := newSharedLog(t, true)
			assert.ErrorContains(t, apply(s), "not known")
			assert.ErrorContains(t, apply(s), "not known")
		})
		t.Run(c.name+" is known to the next leader", func(t *testing.T) {
			s := newSharedLog(t, false)
			assert.NilError(t, apply(s))
			s.follower.BecomeLeader(3)
			assertLeaderKnows(t, s.follower, &c.heard, c.lost)
		})
	}
	t.Run("a member that is known is confirmed without a commit", func(t *testing.T) {
		s := newSharedLog(t, true)
		var held ctlock.Held
		heard := ctframe.Heard{Announcement: announcementOf("b", 1)}
		assert.NilError(t, s.leader.ApplyAnnouncement(t.Context(), &held, &heard))
	})
}

// assertLeaderKnows asserts that a leader knows a member that was heard, and whose logs were lost.
func assertLeaderKnows(t *testing.T, c *Control, heard *ctframe.Heard, lost []ctid.Member) {
	t.Helper()
	var held ctlock.Held
	c.state.With(&held, func(l *leaderState) {
		known, listed := l.roster.Member(heard.Announcement.Member)
		assert.Equal(t, listed, !heard.Deregistered)
		assert.Equal(t, known.Incarnation, heard.Announcement.Incarnation)
		logs, _ := l.successions["g"].LostLogs("g")
		var names []ctid.Member
		for _, log := range logs.Uncovered {
			names = append(names, log.Member)
		}
		assert.DeepEqual(t, names, lost)
	})
}
