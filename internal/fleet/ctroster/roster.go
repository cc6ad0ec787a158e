package ctroster

import (
	"maps"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// epochShift leaves room for 2^40 versions in each epoch of control.
const epochShift = 40

// maxRemovals is how many entries that went away are remembered. A proxy that
// missed more gets the whole view.
const maxRemovals = 4096

// The bounds of the configurations that are remembered to make patches from:
// their number, and the routes that they have together.
const (
	maxRetainedConfigs = 64
	maxRetainedRoutes  = 30_000
)

// Epoch numbers the leaders of control.
type Epoch uint64

// Roster is the soft state of control's leader, which reports rebuild.
type Roster struct {
	version      ctview.Version
	firstVersion ctview.Version
	proxies      map[ctid.Proxy]*proxyState
	members      map[ctid.Member]*memberState
	groups       map[ctid.Group]*groupState
	config       ctview.Config
	// retainedConfigs lists the configurations that proxies may still have, the newest
	// last.
	retainedConfigs []ctview.Config
	removals        []removal
	// deregistered holds the incarnations of the members that ended, so that a late
	// announcement does not bring them back.
	deregistered map[ctid.Member]ctid.Incarnation
	// deltas holds the deltas to the newest version by what they build on, so
	// that each is made once for all the proxies that ask for it.
	deltas map[deltaBase]*ctview.Delta
}

type proxyState struct {
	entry      ctview.Proxy
	version    ctview.Version
	lastReport time.Time
	// revision is the configuration that the proxy has in force.
	revision ctid.Revision
}

type memberState struct {
	entry ctserver.Announcement
	// sequence is that of the latest announcement, which the entry does not have.
	sequence    uint64
	version     ctview.Version
	announcedAt time.Time
}

type groupState struct {
	entry   ctview.Group
	version ctview.Version
}

// deltaBase is what a delta builds on.
type deltaBase struct {
	version  ctview.Version
	revision ctid.Revision
}

// removal is an entry that went away: one of its names is set.
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

// ApplyReport takes a proxy's report and reports whether the view has changed.
func (r *Roster) ApplyReport(now time.Time, report *ctview.Report) bool {
	before := r.version
	r.recordProxy(now, report)
	for i := range report.Announcements {
		r.recordAnnouncement(now, &report.Announcements[i])
	}
	return r.version != before
}

// ApplyAnnouncement takes a member's announcement. It reports whether it is news of a
// member that counts, and whether the view has changed.
func (r *Roster) ApplyAnnouncement(now time.Time, announcement *ctserver.Announcement) (applied, changed bool) {
	before := r.version
	applied = r.recordAnnouncement(now, announcement)
	return applied, r.version != before
}

// DeregisterMember takes out a member that has ended, and reports whether it was in.
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

// Members returns the members' announcements.
func (r *Roster) Members() []ctserver.Announcement {
	var members []ctserver.Announcement
	for _, state := range r.members {
		members = append(members, state.entry)
	}
	return members
}

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

// recordAnnouncement takes an announcement and reports whether it did. One of an earlier
// run of the member's process, or of one whose address a later one has, is out
// of date and changes nothing.
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

// evictFromAddress drops the members of earlier incarnations at the address of an
// announcement. It reports false where a later one has the address.
func (r *Roster) evictFromAddress(announcement *ctserver.Announcement) bool {
	for name, state := range r.members {
		if name == announcement.Member || state.entry.Address != announcement.Address {
			continue
		}
		if state.entry.Incarnation > announcement.Incarnation {
			return false
		}
		delete(r.members, name)
		r.recordRemoval(removal{member: name})
	}
	return true
}

// SetGroup takes what is decided on a group.
func (r *Roster) SetGroup(entry ctview.Group) {
	state, ok := r.groups[entry.Name]
	if !ok {
		state = &groupState{}
		r.groups[entry.Name] = state
	}
	state.entry = entry
	state.version = r.nextVersion()
}

// RemoveGroup forgets a group that is not declared any more.
func (r *Roster) RemoveGroup(name ctid.Group) {
	if _, ok := r.groups[name]; !ok {
		return
	}
	delete(r.groups, name)
	r.recordRemoval(removal{group: name})
}

// SetConfig takes an accepted configuration.
func (r *Roster) SetConfig(config ctview.Config) {
	if config.Revision <= r.config.Revision {
		return
	}
	r.config = config
	r.nextVersion()
	r.RetainConfig(config)
}

// RetainConfig notes a configuration that proxies may have, so that they can be
// told what has changed since.
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

// Expire drops the proxies and members that were not heard of since the stated
// times, and returns the names of the proxies.
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

// ProxiesBehind returns the proxies that do not have the revision in force yet.
func (r *Roster) ProxiesBehind(revision ctid.Revision) []ctid.Proxy {
	var names []ctid.Proxy
	for _, name := range slices.Sorted(maps.Keys(r.proxies)) {
		if r.proxies[name].revision < revision {
			names = append(names, name)
		}
	}
	return names
}

func (r *Roster) recordRemoval(entry removal) {
	entry.version = r.nextVersion()
	r.removals = append(r.removals, entry)
	if len(r.removals) > maxRemovals {
		r.removals = r.removals[len(r.removals)-maxRemovals:]
	}
}

func (r *Roster) nextVersion() ctview.Version {
	r.version++
	r.deltas = nil
	return r.version
}

// Member returns a member's announcement.
func (r *Roster) Member(name ctid.Member) (ctserver.Announcement, bool) {
	state, ok := r.members[name]
	if !ok {
		return ctserver.Announcement{}, false
	}
	return state.entry, true
}
