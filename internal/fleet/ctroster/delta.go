package ctroster

import (
	"cmp"
	"slices"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// DeltaSince returns the delta from a version to the newest one, or nil if there is
// nothing newer. For a version of another leader, or one that is too old, the delta has
// all entries of the view. The configuration is independent of that: the delta has a
// patch if the configuration of the proxy's revision is retained, or else the whole
// one. The delta is shared between proxies and must not be changed.
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

// buildDelta builds the delta from a version that this leader issued, or from an empty
// view if the version is 0.
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

// Issued reports whether this leader's roster issued the version.
func (r *Roster) Issued(version ctview.Version) bool {
	return version >= r.firstVersion && version <= r.version
}

// removalsEvicted reports whether removals after the version may no longer be retained.
func (r *Roster) removalsEvicted(version ctview.Version) bool {
	return len(r.removals) >= maxRemovals && version < r.removals[0].version
}

// addConfig adds the configuration to a delta if the proxy has an older one: as a patch
// if the proxy's configuration is retained, or else as a whole.
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

// retainedConfig returns the configuration of a revision, if it is retained.
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

// addRemovals adds the names of the entries that were removed after the delta's base
// version and have not been added again.
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
