package ctroster

import (
	"maps"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// epochShift is the number of low bits of a version that count within an epoch. It
// leaves room for 2^40 versions in each epoch of control.
const epochShift = 40

// maxRemovals is how many removed entries are retained. A proxy that missed more
// receives the whole view.
const maxRemovals = 4096

// The bounds of the configurations that are retained as bases of patches.
const (
	// maxRetainedConfigs is how many are retained.
	maxRetainedConfigs = 64
	// maxRetainedRoutes is how many routes they may have in total. The newest one is
	// retained however many it has.
	maxRetainedRoutes = 30_000
)

// Epoch numbers the leaders of control. Each new leader has a higher epoch.
type Epoch uint64

// Roster is the soft state of control's leader. A new leader rebuilds its members and
// proxies from their reports. Reset has to be called before any other method. A Roster
// is not safe for concurrent use.
type Roster struct {
	version      ctview.Version
	firstVersion ctview.Version
	proxies      map[ctid.Proxy]*proxyState
	members      map[ctid.Member]*memberState
	groups       map[ctid.Group]*groupState
	config       ctview.Config
	// retainedConfigs are the configurations that proxies may still have in force, the
	// newest last.
	retainedConfigs []ctview.Config
	removals        []removal
	// deregistered are the last incarnations of the members that have ended. They keep a
	// late announcement from adding such a member again.
	deregistered map[ctid.Member]ctid.Incarnation
	// deltas caches the deltas to the newest version by their base. Each is built once
	// for all proxies that have the same base.
	deltas map[deltaBase]*ctview.Delta
}

// proxyState is a proxy's entry in the view and the version in which it last changed.
type proxyState struct {
	entry      ctview.Proxy
	version    ctview.Version
	lastReport time.Time
	// revision is that of the configuration that the proxy has in force.
	revision ctid.Revision
}

// memberState is a member's entry in the view and the version in which it last changed.
type memberState struct {
	entry ctserver.Announcement
	// sequence is that of the latest announcement. The entry has 0 instead, so that a
	// repeated announcement does not change the view.
	sequence    uint64
	version     ctview.Version
	announcedAt time.Time
}

// groupState is a group's entry in the view and the version in which it last changed.
type groupState struct {
	entry   ctview.Group
	version ctview.Version
}

// deltaBase is the state of a proxy's view that a delta is applied to.
type deltaBase struct {
	version  ctview.Version
	revision ctid.Revision
}

// removal is a removed entry. Exactly one of the names is set.
type removal struct {
	version ctview.Version
	proxy   ctid.Proxy
	member  ctid.Member
	group   ctid.Group
}

// Reset empties the roster for the leader of an epoch.
func (r *Roster) Reset(epoch Epoch) {
	first := ctview.Version(epoch) << epochShift
	*r = Roster{
		version:      first,
		firstVersion: first,
		proxies:      make(map[ctid.Proxy]*proxyState),
		members:      make(map[ctid.Member]*memberState),
		groups:       make(map[ctid.Group]*groupState),
		deregistered: make(map[ctid.Member]ctid.Incarnation),
	}
}

// Version returns the newest version.
func (r *Roster) Version() ctview.Version {
	return r.version
}

// ApplyReport applies a proxy's report with the announcements in it, and reports whether
// the view has changed.
func (r *Roster) ApplyReport(now time.Time, report *ctview.Report) bool {
	before := r.version
	r.recordProxy(now, report)
	for i := range report.Announcements {
		r.recordAnnouncement(now, &report.Announcements[i])
	}
	return r.version != before
}

// ApplyAnnouncement applies a member's announcement. It reports whether it was applied,
// which it is not if it is out of date, and whether the view has changed.
func (r *Roster) ApplyAnnouncement(now time.Time, announcement *ctserver.Announcement) (applied, changed bool) {
	before := r.version
	applied = r.recordAnnouncement(now, announcement)
	return applied, r.version != before
}

// DeregisterMember removes a member that has ended, and reports whether it was listed.
// Late announcements of the ended process are ignored from then on.
func (r *Roster) DeregisterMember(name ctid.Member) bool {
	state, ok := r.members[name]
	if !ok {
		return false
	}
	r.deregistered[name] = state.entry.Incarnation
	delete(r.members, name)
	r.recordRemoval(removal{member: name})
	return true
}

// Members returns the members' latest announcements, without order.
func (r *Roster) Members() []ctserver.Announcement {
	var members []ctserver.Announcement
	for _, state := range r.members {
		members = append(members, state.entry)
	}
	return members
}

// recordProxy applies what a proxy reports on itself. It ignores a report of an earlier
// run of the proxy.
func (r *Roster) recordProxy(now time.Time, report *ctview.Report) {
	state, ok := r.proxies[report.Proxy.Name]
	if !ok {
		state = &proxyState{}
		r.proxies[report.Proxy.Name] = state
	}
	if ok && report.Proxy.Incarnation < state.entry.Incarnation {
		return
	}
	if report.Stopping {
		delete(r.proxies, report.Proxy.Name)
		r.recordRemoval(removal{proxy: report.Proxy.Name})
		return
	}
	state.lastReport = now
	state.revision = report.Revision
	if state.entry != report.Proxy {
		state.entry = report.Proxy
		state.version = r.nextVersion()
	}
}

// recordAnnouncement applies an announcement and reports whether it did. An announcement
// is out of date and ignored if the member's process has ended or restarted since, or if
// a member of a later incarnation has its address.
func (r *Roster) recordAnnouncement(now time.Time, announcement *ctserver.Announcement) bool {
	if ended, ok := r.deregistered[announcement.Member]; ok && announcement.Incarnation <= ended {
		return false
	}
	state, ok := r.members[announcement.Member]
	if ok {
		earlier := state.entry
		earlier.Sequence = state.sequence
		if !announcement.Supersedes(&earlier) {
			return false
		}
	}
	if !r.evictFromAddress(announcement) {
		return false
	}
	if !ok {
		state = &memberState{}
		r.members[announcement.Member] = state
	}
	state.announcedAt = now
	state.sequence = announcement.Sequence
	entry := *announcement
	entry.Sequence = 0
	if state.entry != entry {
		state.entry = entry
		state.version = r.nextVersion()
	}
	return true
}

// evictFromAddress removes other members at the address of an announcement. It reports
// false if one of them has a later incarnation than the announcement, or if its group is
// declared and that of the announcement is not.
func (r *Roster) evictFromAddress(announcement *ctserver.Announcement) bool {
	for name, state := range r.members {
		if name == announcement.Member || state.entry.Address != announcement.Address {
			continue
		}
		foreign := !r.declared(announcement.Group) && r.declared(state.entry.Group)
		if foreign || state.entry.Incarnation > announcement.Incarnation {
			return false
		}
		delete(r.members, name)
		r.recordRemoval(removal{member: name})
	}
	return true
}

// declared reports whether the configuration declares a group.
func (r *Roster) declared(name ctid.Group) bool {
	_, ok := r.config.Document.Group(name)
	return ok
}

// GroupsSince returns the groups that have changed after a version, without order.
func (r *Roster) GroupsSince(version ctview.Version) []ctview.Group {
	var groups []ctview.Group
	for _, state := range r.groups {
		if state.version > version {
			groups = append(groups, state.entry)
		}
	}
	return groups
}

// SetGroup records the durable state of a group.
func (r *Roster) SetGroup(entry ctview.Group) {
	state, ok := r.groups[entry.Name]
	if !ok {
		state = &groupState{}
		r.groups[entry.Name] = state
	}
	state.entry = entry
	state.version = r.nextVersion()
}

// RemoveGroup removes a group that is no longer declared.
func (r *Roster) RemoveGroup(name ctid.Group) {
	if _, ok := r.groups[name]; !ok {
		return
	}
	delete(r.groups, name)
	r.recordRemoval(removal{group: name})
}

// SetConfig records an accepted configuration. It ignores one that is not newer than
// the current one.
func (r *Roster) SetConfig(config ctview.Config) {
	if config.Revision <= r.config.Revision {
		return
	}
	r.config = config
	r.nextVersion()
	r.RetainConfig(config)
}

// RetainConfig retains a configuration that proxies may have in force, as a base for
// patches. Configurations have to be retained in the order of their revisions.
func (r *Roster) RetainConfig(config ctview.Config) {
	r.retainedConfigs = append(r.retainedConfigs, config)
	routes := 0
	for _, c := range r.retainedConfigs {
		routes += len(c.Document.Routes)
	}
	for len(r.retainedConfigs) > maxRetainedConfigs || (routes > maxRetainedRoutes && len(r.retainedConfigs) > 1) {
		routes -= len(r.retainedConfigs[0].Document.Routes)
		r.retainedConfigs = r.retainedConfigs[1:]
	}
}

// Expire removes the proxies that last reported before proxyCutoff and the members that
// last announced themselves before memberCutoff. It returns the names of the removed
// proxies.
func (r *Roster) Expire(proxyCutoff, memberCutoff time.Time) []ctid.Proxy {
	var expired []ctid.Proxy
	for name, state := range r.proxies {
		if state.lastReport.Before(proxyCutoff) {
			expired = append(expired, name)
		}
	}
	slices.Sort(expired)
	for _, name := range expired {
		delete(r.proxies, name)
		r.recordRemoval(removal{proxy: name})
	}
	r.expireMembers(memberCutoff)
	return expired
}

func (r *Roster) expireMembers(cutoff time.Time) {
	var expired []ctid.Member
	for name, state := range r.members {
		if state.announcedAt.Before(cutoff) {
			expired = append(expired, name)
		}
	}
	slices.Sort(expired)
	for _, name := range expired {
		delete(r.members, name)
		r.recordRemoval(removal{member: name})
	}
}

// ProxiesBehind returns the names of the proxies that do not have the revision or a
// later one in force yet, sorted.
func (r *Roster) ProxiesBehind(revision ctid.Revision) []ctid.Proxy {
	var names []ctid.Proxy
	for _, name := range slices.Sorted(maps.Keys(r.proxies)) {
		if r.proxies[name].revision < revision {
			names = append(names, name)
		}
	}
	return names
}

// recordRemoval assigns a version to a removal and retains it for deltas.
func (r *Roster) recordRemoval(entry removal) {
	entry.version = r.nextVersion()
	r.removals = append(r.removals, entry)
	if len(r.removals) > maxRemovals {
		r.removals = r.removals[len(r.removals)-maxRemovals:]
	}
}

// nextVersion issues the next version and drops the cached deltas, which end at the
// previous one.
func (r *Roster) nextVersion() ctview.Version {
	r.version++
	r.deltas = nil
	return r.version
}

// Member returns a member's latest announcement, and whether the member is listed.
func (r *Roster) Member(name ctid.Member) (ctserver.Announcement, bool) {
	state, ok := r.members[name]
	if !ok {
		return ctserver.Announcement{}, false
	}
	return state.entry, true
}
