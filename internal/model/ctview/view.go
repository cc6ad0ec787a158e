package ctview

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// View is the state of the fleet at one version. The zero value is the empty view
// before the first delta. A view is immutable.
type View struct {
	Version Version
	Proxies map[ctid.Proxy]Proxy
	Members map[ctid.Member]ctserver.Announcement
	Groups  map[ctid.Group]Group
	Config  Config

	// groupMembers and domainProxies are sorted indexes of Members and Proxies.
	groupMembers  map[ctid.Group][]ctid.Member
	domainProxies map[ctid.FailureDomain][]ctid.Proxy
	// keyHolders maps the digests of keys to the indexes of the workspaces in the
	// configuration. It was built for the configuration of keyRevision.
	keyHolders  map[ctid.KeyDigest]int
	keyRevision ctid.Revision
}

// Apply returns the view after the delta. If the view already has the delta's
// version or a later one, Apply returns the view itself. It returns the view and an
// error of kind cterror.Conflict if the delta builds on a later version than the
// view's, or if its patch builds on another configuration than the view's.
func (v *View) Apply(delta *Delta) (*View, error) {
	if delta.To <= v.Version {
		return v, nil
	}
	if delta.From > v.Version {
		return v, cterror.Newf(cterror.Conflict, "ask for a delta from the current version",
			"view delta builds on version %d, version %d is current", delta.From, v.Version)
	}
	if p := delta.ConfigPatch; p != nil && p.Base != v.Config.Revision {
		return v, cterror.Newf(cterror.Conflict, "ask for a delta from the current version",
			"patch builds on configuration %s, %s is current", p.Base, v.Config.Revision)
	}
	next := v.copy()
	if delta.From == 0 {
		next = &View{
			Proxies: make(map[ctid.Proxy]Proxy),
			Members: make(map[ctid.Member]ctserver.Announcement),
			Groups:  make(map[ctid.Group]Group),
			Config:  v.Config,
		}
	}
	if delta.From == 0 {
		// WithGroups may have applied newer states of some groups than the full view
		// has. Start from the known states; applyGroup replaces them by newer ones only.
		for _, g := range delta.Groups {
			if current, ok := v.Groups[g.Name]; ok {
				next.Groups[g.Name] = current
			}
		}
	}
	next.Version = delta.To
	next.applyDelta(delta)
	next.buildIndexes()
	return next, nil
}

// WithProxy returns the view with the proxy added, or the view itself if it contains
// the proxy already. A proxy adds itself this way, in case control has removed it after a
// while without reports.
func (v *View) WithProxy(proxy Proxy) *View {
	if _, ok := v.Proxies[proxy.Name]; ok {
		return v
	}
	next := v.copy()
	next.Version = v.Version
	next.Proxies[proxy.Name] = proxy
	next.buildIndexes()
	return next
}

// WithGroups returns the view with the given group states from control. It ignores
// states that are older than the view's.
func (v *View) WithGroups(groups []Group) *View {
	next := v.copy()
	next.Version = v.Version
	for _, g := range groups {
		next.applyGroup(g)
	}
	next.buildIndexes()
	return next
}

// copy returns a modifiable copy of the view, without version and indexes.
func (v *View) copy() *View {
	next := &View{
		Proxies: maps.Clone(v.Proxies),
		Members: maps.Clone(v.Members),
		Groups:  maps.Clone(v.Groups),
		Config:  v.Config,

		keyHolders: v.keyHolders, keyRevision: v.keyRevision,
	}
	if next.Proxies == nil {
		next.Proxies = make(map[ctid.Proxy]Proxy)
		next.Members = make(map[ctid.Member]ctserver.Announcement)
		next.Groups = make(map[ctid.Group]Group)
	}
	return next
}

// applyDelta applies the entries of the delta to a view that is not yet shared.
func (v *View) applyDelta(delta *Delta) {
	for _, p := range delta.Proxies {
		v.Proxies[p.Name] = p
	}
	for _, p := range delta.RemovedProxies {
		delete(v.Proxies, p)
	}
	for _, m := range delta.Members {
		v.Members[m.Member] = m
	}
	for _, m := range delta.RemovedMembers {
		delete(v.Members, m)
	}
	for _, g := range delta.Groups {
		v.applyGroup(g)
	}
	for _, g := range delta.RemovedGroups {
		delete(v.Groups, g)
	}
	if delta.Config != nil && delta.Config.Revision > v.Config.Revision {
		v.Config = *delta.Config
	}
	if p := delta.ConfigPatch; p != nil {
		v.Config = Config{Revision: p.Revision, Document: v.Config.Document.WithPatch(&p.Patch)}
	}
}

// applyGroup replaces the state of a group, unless the new state is older: it has a lower
// term, a lower fence in the same term, or a lower revision with the same fence. Fences only
// rise within a term. An older state can arrive late, over another stream.
func (v *View) applyGroup(g Group) {
	current := v.Groups[g.Name]
	older := cmp.Or(
		cmp.Compare(g.Term, current.Term), cmp.Compare(g.Fence, current.Fence), cmp.Compare(g.Revision, current.Revision),
	) < 0
	if !older {
		v.Groups[g.Name] = g
	}
}

// buildIndexes fills the indexes. It must run before the view is shared.
func (v *View) buildIndexes() {
	v.groupMembers = make(map[ctid.Group][]ctid.Member)
	for name, m := range v.Members {
		v.groupMembers[m.Group] = append(v.groupMembers[m.Group], name)
	}
	for _, members := range v.groupMembers {
		slices.Sort(members)
	}
	v.domainProxies = make(map[ctid.FailureDomain][]ctid.Proxy)
	for name, p := range v.Proxies {
		v.domainProxies[p.FailureDomain] = append(v.domainProxies[p.FailureDomain], name)
	}
	for _, proxies := range v.domainProxies {
		slices.Sort(proxies)
	}
	v.buildKeyIndex()
}

// buildKeyIndex fills keyHolders, unless it was built for the same configuration.
func (v *View) buildKeyIndex() {
	if v.keyHolders != nil && v.keyRevision == v.Config.Revision {
		return
	}
	v.keyHolders, v.keyRevision = make(map[ctid.KeyDigest]int), v.Config.Revision
	for i, w := range v.Config.Document.Workspaces {
		for _, key := range w.Keys {
			v.keyHolders[key] = i
		}
	}
}

// WorkspaceOf returns the workspace that holds a key, and whether there is one.
func (v *View) WorkspaceOf(key ctid.KeyDigest) (ctconfig.Workspace, bool) {
	i, ok := v.keyHolders[key]
	if !ok {
		return ctconfig.Workspace{}, false
	}
	return v.Config.Document.Workspaces[i], true
}

// MembersOf returns the names of a group's members in ascending order. The slice is
// shared and must not be modified.
func (v *View) MembersOf(group ctid.Group) []ctid.Member {
	return v.groupMembers[group]
}

// ProxiesOf returns the names of a failure domain's proxies in ascending order. The
// slice is shared and must not be modified.
func (v *View) ProxiesOf(domain ctid.FailureDomain) []ctid.Proxy {
	return v.domainProxies[domain]
}

// FullDelta returns a delta that contains the full view.
func (v *View) FullDelta() *Delta {
	delta := &Delta{
		To:      v.Version,
		Proxies: sortedValues(v.Proxies, func(p Proxy) ctid.Proxy { return p.Name }),
		Members: sortedValues(v.Members, func(m ctserver.Announcement) ctid.Member { return m.Member }),
		Groups:  sortedValues(v.Groups, func(g Group) ctid.Group { return g.Name }),
	}
	if v.Config.Revision > 0 {
		config := v.Config
		delta.Config = &config
	}
	return delta
}

// sortedValues returns the values of a map in ascending order of key(value).
func sortedValues[K cmp.Ordered, V any](entries map[K]V, key func(V) K) []V {
	values := slices.Collect(maps.Values(entries))
	slices.SortFunc(values, func(a, b V) int { return cmp.Compare(key(a), key(b)) })
	return values
}
