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
	if version < r.firstVersion || version > r.version || r.removalsEvicted(version) {
		version = 0
	}
	from := deltaBase{version: version, revision: revision}
	delta, ok := r.deltas[from]
	if ok {
		return delta
	}
	if r.deltas == nil {
		r.deltas = make(map[deltaBase]*ctview.Delta)
	}
	delta = r.buildDelta(version, revision)
	r.deltas[from] = delta
	return delta
}

// buildDelta makes the delta from a version that is remembered, or from nothing.
func (r *Roster) buildDelta(version ctview.Version, revision ctid.Revision) *ctview.Delta {
	delta := &ctview.Delta{From: version, To: r.version}
	r.addProxies(delta)
	r.addMembers(delta)
	r.addGroups(delta)
	r.addConfig(delta, revision)
	if version > 0 {
		r.addRemovals(delta)
	}
	return delta
}

// Issued reports whether the roster of this leader made the version.
func (r *Roster) Issued(version ctview.Version) bool {
	return version >= r.firstVersion && version <= r.version
}

// removalsEvicted reports whether entries that went away after the version are not
// remembered any more.
func (r *Roster) removalsEvicted(version ctview.Version) bool {
	return len(r.removals) >= maxRemovals && version < r.removals[0].version
}

// addConfig adds the configuration where the proxy has another one, as a patch
// where that is remembered.
func (r *Roster) addConfig(delta *ctview.Delta, revision ctid.Revision) {
	base, known := r.retainedConfig(revision)
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

// retainedConfig returns a configuration that is remembered.
func (r *Roster) retainedConfig(revision ctid.Revision) (ctview.Config, bool) {
	for _, c := range slices.Backward(r.retainedConfigs) {
		if c.Revision == revision && revision > 0 {
			return c, true
		}
	}
	return ctview.Config{}, false
}

func (r *Roster) addProxies(delta *ctview.Delta) {
	for _, state := range r.proxies {
		if state.version > delta.From {
			delta.Proxies = append(delta.Proxies, state.entry)
		}
	}
	slices.SortFunc(delta.Proxies, func(a, b ctview.Proxy) int { return cmp.Compare(a.Name, b.Name) })
}

func (r *Roster) addMembers(delta *ctview.Delta) {
	for _, state := range r.members {
		if state.version > delta.From {
			delta.Members = append(delta.Members, state.entry)
		}
	}
	slices.SortFunc(delta.Members, func(a, b ctserver.Announcement) int { return cmp.Compare(a.Member, b.Member) })
}

func (r *Roster) addGroups(delta *ctview.Delta) {
	for _, state := range r.groups {
		if state.version > delta.From {
			delta.Groups = append(delta.Groups, state.entry)
		}
	}
	slices.SortFunc(delta.Groups, func(a, b ctview.Group) int { return cmp.Compare(a.Name, b.Name) })
}

// addRemovals lists the entries that went away after the version and did not come
// back.
func (r *Roster) addRemovals(delta *ctview.Delta) {
	for _, entry := range r.removals {
		if entry.version <= delta.From {
			continue
		}
		if r.proxyRemoved(entry.proxy) {
			delta.RemovedProxies = append(delta.RemovedProxies, entry.proxy)
		}
		if r.memberRemoved(entry.member) {
			delta.RemovedMembers = append(delta.RemovedMembers, entry.member)
		}
		if r.groupRemoved(entry.group) {
			delta.RemovedGroups = append(delta.RemovedGroups, entry.group)
		}
	}
}

func (r *Roster) proxyRemoved(name ctid.Proxy) bool {
	_, present := r.proxies[name]
	return name != "" && !present
}

func (r *Roster) memberRemoved(name ctid.Member) bool {
	_, present := r.members[name]
	return name != "" && !present
}

func (r *Roster) groupRemoved(name ctid.Group) bool {
	_, present := r.groups[name]
	return name != "" && !present
}
