package ctroster

import (
	"cmp"
	"slices"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// DeltaSince returns the delta from a version to the newest one, or nil where there
// is nothing newer. A version of another leader, or one that lies too far back,
// gets the whole view, but for the configuration, of which a proxy that has a
// revision gets what has changed. The delta is shared and must not be changed.
func (r *Roster) DeltaSince(version ctview.Version, revision ctid.Revision) *ctview.Delta {
	if version == r.version {
		return nil
	}
	if version < r.first || version > r.version || r.forgotten(version) {
		version = 0
	}
	from := base{version: version, revision: revision}
	delta, ok := r.deltas[from]
	if ok {
		return delta
	}
	if r.deltas == nil {
		r.deltas = make(map[base]*ctview.Delta)
	}
	delta = r.makeDelta(version, revision)
	r.deltas[from] = delta
	return delta
}

// makeDelta makes the delta from a version that is remembered, or from nothing.
func (r *Roster) makeDelta(version ctview.Version, revision ctid.Revision) *ctview.Delta {
	delta := &ctview.Delta{From: version, To: r.version}
	r.addProxies(delta)
	r.addMembers(delta)
	r.addGroups(delta)
	r.addConfig(delta, revision)
	if version > 0 {
		r.addGone(delta)
	}
	return delta
}

// Issued reports whether the roster of this leader made the version.
func (r *Roster) Issued(version ctview.Version) bool {
	return version >= r.first && version <= r.version
}

// forgotten reports whether entries that went away after the version are not
// remembered any more.
func (r *Roster) forgotten(version ctview.Version) bool {
	return len(r.gone) >= maxGone && version < r.gone[0].version
}

// addConfig adds the configuration where the proxy has another one, as a patch
// where that is remembered.
func (r *Roster) addConfig(delta *ctview.Delta, revision ctid.Revision) {
	base, known := r.remembered(revision)
	switch {
	case !known:
		config := r.config
		delta.Config = &config
	case base.Revision < r.config.Revision:
		delta.ConfigPatch = &ctview.ConfigPatch{
			Base:     base.Revision,
			Revision: r.config.Revision,
			Patch:    ctconfig.Diff(&base.Document, &r.config.Document),
		}
	}
}

// remembered returns a configuration that is remembered.
func (r *Roster) remembered(revision ctid.Revision) (ctview.Config, bool) {
	for _, c := range slices.Backward(r.configured) {
		if c.Revision == revision && revision > 0 {
			return c, true
		}
	}
	return ctview.Config{}, false
}

func (r *Roster) addProxies(delta *ctview.Delta) {
	for _, row := range r.proxies {
		if row.version > delta.From {
			delta.Proxies = append(delta.Proxies, row.entry)
		}
	}
	slices.SortFunc(delta.Proxies, func(a, b ctview.Proxy) int { return cmp.Compare(a.Name, b.Name) })
}

func (r *Roster) addMembers(delta *ctview.Delta) {
	for _, row := range r.members {
		if row.version > delta.From {
			delta.Members = append(delta.Members, row.entry)
		}
	}
	slices.SortFunc(delta.Members, func(a, b ctserver.Announcement) int { return cmp.Compare(a.Member, b.Member) })
}

func (r *Roster) addGroups(delta *ctview.Delta) {
	for _, row := range r.groups {
		if row.version > delta.From {
			delta.Groups = append(delta.Groups, row.entry)
		}
	}
	slices.SortFunc(delta.Groups, func(a, b ctview.Group) int { return cmp.Compare(a.Name, b.Name) })
}

// addGone lists the entries that went away after the version and did not come
// back.
func (r *Roster) addGone(delta *ctview.Delta) {
	for _, entry := range r.gone {
		if entry.version <= delta.From {
			continue
		}
		if r.wentProxy(entry.proxy) {
			delta.RemovedProxies = append(delta.RemovedProxies, entry.proxy)
		}
		if r.wentMember(entry.member) {
			delta.RemovedMembers = append(delta.RemovedMembers, entry.member)
		}
		if r.wentGroup(entry.group) {
			delta.RemovedGroups = append(delta.RemovedGroups, entry.group)
		}
	}
}

func (r *Roster) wentProxy(name ctid.Proxy) bool {
	_, back := r.proxies[name]
	return name != "" && !back
}

func (r *Roster) wentMember(name ctid.Member) bool {
	_, back := r.members[name]
	return name != "" && !back
}

func (r *Roster) wentGroup(name ctid.Group) bool {
	_, back := r.groups[name]
	return name != "" && !back
}
