package ctcontrol

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// saveMembersInterval is the least interval between two SetMembers commands, except for those
// that a member waits for. Each further membersPerSaveInterval members add the same again,
// because a command contains all members.
const (
	saveMembersInterval    = time.Second
	membersPerSaveInterval = 200
)

// savedMembers is what the leader knows of the members in the register.
type savedMembers struct {
	// membersComparedAt is when the roster's members were last compared with those in the
	// register.
	membersComparedAt time.Time
	// savedRuns are the runs of the members in the register.
	savedRuns map[ctid.Member]ctid.Incarnation
}

// indexSavedRuns fills savedRuns from the register.
func (l *leaderState) indexSavedRuns() {
	l.savedRuns = make(map[ctid.Member]ctid.Incarnation, len(l.register.Members)+len(l.register.Silent))
	for _, announcements := range [][]ctserver.Announcement{l.register.Silent, l.register.Members} {
		for _, a := range announcements {
			l.savedRuns[a.Member] = a.Incarnation
		}
	}
}

// currentMembers returns the roster's members, the others whose logs may have commits, and the
// lost logs, and whether they differ from those in the register.
func (l *leaderState) currentMembers() (ctregister.SetMembers, bool) {
	current := ctregister.SetMembers{Members: l.roster.Members(), Lost: []ctview.LostLogs{}}
	listed := func(name ctid.Member) bool {
		_, ok := l.roster.Member(name)
		return ok
	}
	for _, group := range slices.Sorted(maps.Keys(l.successions)) {
		machine := l.successions[group]
		current.Silent = append(current.Silent, machine.Unlisted(listed)...)
		if logs, ok := machine.LostLogs(group); ok {
			current.Lost = append(current.Lost, logs)
		}
	}
	byName := func(a, b ctserver.Announcement) int { return cmp.Compare(a.Member, b.Member) }
	slices.SortFunc(current.Members, byName)
	slices.SortFunc(current.Silent, byName)
	changed := !slices.Equal(current.Members, l.register.Members) || !slices.Equal(current.Silent, l.register.Silent) ||
		len(current.Lost) != len(l.register.Lost)
	for _, logs := range current.Lost {
		changed = changed || !logs.Equal(l.register.Lost[logs.Group])
	}
	return current, changed
}

// unsavedMembers returns the current members, and whether they must be saved because they
// differ from those in the register. It compares them at most once per interval.
func (l *leaderState) unsavedMembers(now time.Time) (ctregister.SetMembers, bool) {
	interval := saveMembersInterval * time.Duration(1+len(l.register.Members)/membersPerSaveInterval)
	if len(l.successions) == 0 || now.Sub(l.membersComparedAt) < interval {
		return ctregister.SetMembers{}, false
	}
	l.membersComparedAt = now
	return l.currentMembers()
}

// awaitSaved waits until the leader's present knowledge of the members and their logs is
// durable, and returns an error if it may not be.
func (c *Control) awaitSaved(ctx context.Context, held *ctlock.Held) error {
	if _, ok := c.memberSaves.call(ctx, held, struct{}{}); !ok {
		return cterror.New(cterror.Unavailable, "whether the member was recorded is not known", "announce it again")
	}
	return nil
}

// saveMembers makes the leader's knowledge of the members durable, for calls that wait for that.
func (c *Control) saveMembers(ctx context.Context, calls []struct{}) ([]struct{}, error) {
	var held ctlock.Held
	outcome := make(chan ctregister.Result, 1)
	saved := false
	err := c.withAuthority(&held, func(_ time.Time, l *leaderState) {
		current, changed := l.currentMembers()
		if saved = !changed; saved {
			return
		}
		c.propose(l, current, outcome)
	})
	if err != nil || saved {
		return calls, err
	}
	select {
	case _, ok := <-outcome:
		if ok {
			return calls, nil
		}
	case <-ctx.Done():
	}
	return nil, cterror.New(cterror.Unavailable, "whether the members were recorded is not known", "try again")
}

// logLost logs the losses that were recorded or covered.
func (c *Control) logLost(lost []ctview.LostLogs) {
	for _, logs := range lost {
		var names []string
		for _, log := range logs.Uncovered {
			names = append(names, string(log.Member))
		}
		c.Logger.Info().Str("event", "decision").Str("decision", "record_lost_logs").
			Str("group", string(logs.Group)).Uint64("term", uint64(logs.Term)).
			Strs("uncovered", names).Stringer("point", logs.Point).Send()
	}
}

// logWaits logs what a change of primary waits for, each time that changes.
func (c *Control) logWaits(l *leaderState, name ctid.Group, waits []ctsuccession.Wait) {
	if slices.Equal(l.waits[name], waits) {
		return
	}
	l.waits[name] = waits
	for _, wait := range waits {
		c.Logger.Info().Str("event", "decision").Str("decision", "wait").Str("group", string(name)).
			Str("why", string(wait.Reason)).Str("member", string(wait.Member)).Time("since", wait.Since).
			Str("primary", string(l.register.Groups[name].Primary)).Send()
	}
}
