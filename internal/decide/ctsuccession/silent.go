package ctsuccession

import (
	"maps"
	"slices"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// Silent returns the last announcements of the silent members, sorted by name. They have to
// be durable, so that the next leader takes their logs into account.
func (m *Machine) Silent() []ctserver.Announcement {
	var silent []ctserver.Announcement
	for _, name := range slices.Sorted(maps.Keys(m.silent)) {
		silent = append(silent, m.silent[name])
	}
	return silent
}

// AddSilent adds a member that was silent under the previous leader, unless it was heard
// since.
func (m *Machine) AddSilent(announcement ctserver.Announcement) {
	if _, heard := m.members[announcement.Member]; !heard {
		m.silent[announcement.Member] = announcement
	}
}
