package ctsuccession

import (
	"maps"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// silentMember is a member that is neither heard nor known to be gone.
type silentMember struct {
	announcement ctserver.Announcement
	// since is when it was last heard, or when the leader started if that was before.
	since time.Time
}

// Unlisted returns the last announcements of the members that the caller doesn't list, sorted by
// name: the silent ones and those that answer, but have not announced themselves for a while.
// They have to be durable, so that the next leader takes their logs into account.
func (m *Machine) Unlisted(listed func(ctid.Member) bool) []ctserver.Announcement {
	announcements := make(map[ctid.Member]ctserver.Announcement)
	for name, silent := range m.silent {
		announcements[name] = silent.announcement
	}
	for name, member := range m.members {
		if !listed(name) {
			announcements[name] = member.announcement
		}
	}
	var unlisted []ctserver.Announcement
	for _, name := range slices.Sorted(maps.Keys(announcements)) {
		unlisted = append(unlisted, announcements[name])
	}
	return unlisted
}

// AddSilent adds a member that was silent under the previous leader, unless it was heard
// since.
func (m *Machine) AddSilent(announcement ctserver.Announcement) {
	if _, heard := m.members[announcement.Member]; !heard {
		m.silent[announcement.Member] = silentMember{announcement: announcement, since: m.startedAt}
	}
}
