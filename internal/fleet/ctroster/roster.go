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

// maxGone is how many entries that went away are remembered. A proxy that
// missed more gets the whole view.
const maxGone = 4096

// The bounds of the configurations that are remembered to make patches from:
// their number, and the routes that they have together.
const (
	maxConfigured = 64
	maxRoutes     = 30_000
)

// Epoch numbers the leaders of control.
type Epoch uint64

// Roster is the soft state of control's leader, which reports rebuild.
type Roster struct {
	version ctview.Version
	first   ctview.Version
	proxies map[ctid.Proxy]*proxy
	members map[ctid.Member]*member
	groups  map[ctid.Group]*group
	config  ctview.Config
	// configured lists the configurations that proxies may still have, the newest
	// last.
	configured []ctview.Config
	gone       []gone
	// left holds the incarnations of the members that ended, so that a late
	// announcement does not bring them back.
	left map[ctid.Member]ctid.Incarnation
	// deltas holds the deltas to the newest version by what they build on, so
	// that each is made once for all the proxies that ask for it.
	deltas map[base]*ctview.Delta
}

type proxy struct {
	entry   ctview.Proxy
	version ctview.Version
	heard   time.Time
	// revision is the configuration that the proxy has in force.
	revision ctid.Revision
}

type member struct {
	entry ctserver.Announcement
	// sequence is that of the latest announcement, which the entry does not have.
	sequence uint64
	version  ctview.Version
	heard    time.Time
}

type group struct {
	entry   ctview.Group
	version ctview.Version
}

// base is what a delta builds on.
type base struct {
	version  ctview.Version
	revision ctid.Revision
}

// gone is an entry that went away: one of its names is set.
type gone struct {
	version ctview.Version
	proxy   ctid.Proxy
	member  ctid.Member
	group   ctid.Group
}

// Reset empties the roster for the leader of an epoch.
func (r *Roster) Reset(epoch Epoch) {
	first := ctview.Version(epoch) << epochShift
	*r = Roster{
		version: first,
		first:   first,
		proxies: make(map[ctid.Proxy]*proxy),
		members: make(map[ctid.Member]*member),
		groups:  make(map[ctid.Group]*group),
		left:    make(map[ctid.Member]ctid.Incarnation),
	}
}

// Version returns the newest version.
func (r *Roster) Version() ctview.Version {
	return r.version
}

// ApplyReport takes a proxy's report and reports whether the view has changed.
func (r *Roster) ApplyReport(now time.Time, report *ctview.Report) bool {
	before := r.version
	r.hearProxy(now, report)
	for i := range report.Announcements {
		r.hearMember(now, &report.Announcements[i])
	}
	return r.version != before
}

// ApplyAnnouncement takes a member's announcement. It reports whether it is news of a
// member that counts, and whether the view has changed.
func (r *Roster) ApplyAnnouncement(now time.Time, announced *ctserver.Announcement) (taken, changed bool) {
	before := r.version
	taken = r.hearMember(now, announced)
	return taken, r.version != before
}

// DeregisterMember takes out a member that has ended, and reports whether it was in.
func (r *Roster) DeregisterMember(name ctid.Member) bool {
	row, ok := r.members[name]
	if !ok {
		return false
	}
	r.left[name] = row.entry.Incarnation
	delete(r.members, name)
	r.leave(gone{member: name})
	return true
}

// Members returns the members' announcements.
func (r *Roster) Members() []ctserver.Announcement {
	var members []ctserver.Announcement
	for _, row := range r.members {
		members = append(members, row.entry)
	}
	return members
}

func (r *Roster) hearProxy(now time.Time, report *ctview.Report) {
	row, ok := r.proxies[report.Proxy.Name]
	if !ok {
		row = &proxy{}
		r.proxies[report.Proxy.Name] = row
	}
	if ok && report.Proxy.Incarnation < row.entry.Incarnation {
		return
	}
	if report.Stopping {
		delete(r.proxies, report.Proxy.Name)
		r.leave(gone{proxy: report.Proxy.Name})
		return
	}
	row.heard = now
	row.revision = report.Revision
	if row.entry != report.Proxy {
		row.entry = report.Proxy
		row.version = r.next()
	}
}

// hearMember takes an announcement and reports whether it did. One of an earlier
// run of the member's process, or of one whose address a later one has, is out
// of date and changes nothing.
func (r *Roster) hearMember(now time.Time, announced *ctserver.Announcement) bool {
	if left, ok := r.left[announced.Member]; ok && announced.Incarnation <= left {
		return false
	}
	row, ok := r.members[announced.Member]
	if ok {
		earlier := row.entry
		earlier.Sequence = row.sequence
		if !announced.Supersedes(&earlier) {
			return false
		}
	}
	if !r.clearAddress(announced) {
		return false
	}
	if !ok {
		row = &member{}
		r.members[announced.Member] = row
	}
	row.heard = now
	row.sequence = announced.Sequence
	entry := *announced
	entry.Sequence = 0
	if row.entry != entry {
		row.entry = entry
		row.version = r.next()
	}
	return true
}

// clearAddress drops the members of earlier incarnations at the address of an
// announcement. It reports false where a later one has the address.
func (r *Roster) clearAddress(announced *ctserver.Announcement) bool {
	for name, row := range r.members {
		if name == announced.Member || row.entry.Address != announced.Address {
			continue
		}
		if row.entry.Incarnation > announced.Incarnation {
			return false
		}
		delete(r.members, name)
		r.leave(gone{member: name})
	}
	return true
}

// SetGroup takes what is decided on a group.
func (r *Roster) SetGroup(entry ctview.Group) {
	row, ok := r.groups[entry.Name]
	if !ok {
		row = &group{}
		r.groups[entry.Name] = row
	}
	row.entry = entry
	row.version = r.next()
}

// RemoveGroup forgets a group that is not declared any more.
func (r *Roster) RemoveGroup(name ctid.Group) {
	if _, ok := r.groups[name]; !ok {
		return
	}
	delete(r.groups, name)
	r.leave(gone{group: name})
}

// SetConfig takes an accepted configuration.
func (r *Roster) SetConfig(config ctview.Config) {
	if config.Revision <= r.config.Revision {
		return
	}
	r.config = config
	r.next()
	r.RetainConfig(config)
}

// RetainConfig notes a configuration that proxies may have, so that they can be
// told what has changed since.
func (r *Roster) RetainConfig(config ctview.Config) {
	r.configured = append(r.configured, config)
	routes := 0
	for _, c := range r.configured {
		routes += len(c.Document.Routes)
	}
	for len(r.configured) > maxConfigured || (routes > maxRoutes && len(r.configured) > 1) {
		routes -= len(r.configured[0].Document.Routes)
		r.configured = r.configured[1:]
	}
}

// Expire drops the proxies and members that were not heard of since the stated
// times, and returns the names of the proxies.
func (r *Roster) Expire(proxySince, memberSince time.Time) []ctid.Proxy {
	var expired []ctid.Proxy
	for name, row := range r.proxies {
		if row.heard.Before(proxySince) {
			expired = append(expired, name)
		}
	}
	slices.Sort(expired)
	for _, name := range expired {
		delete(r.proxies, name)
		r.leave(gone{proxy: name})
	}
	r.expireMembers(memberSince)
	return expired
}

func (r *Roster) expireMembers(since time.Time) {
	var expired []ctid.Member
	for name, row := range r.members {
		if row.heard.Before(since) {
			expired = append(expired, name)
		}
	}
	slices.Sort(expired)
	for _, name := range expired {
		delete(r.members, name)
		r.leave(gone{member: name})
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

func (r *Roster) leave(entry gone) {
	entry.version = r.next()
	r.gone = append(r.gone, entry)
	if len(r.gone) > maxGone {
		r.gone = r.gone[len(r.gone)-maxGone:]
	}
}

func (r *Roster) next() ctview.Version {
	r.version++
	r.deltas = nil
	return r.version
}

// Member returns a member's announcement.
func (r *Roster) Member(name ctid.Member) (ctserver.Announcement, bool) {
	row, ok := r.members[name]
	if !ok {
		return ctserver.Announcement{}, false
	}
	return row.entry, true
}
