package ctview

import (
	"maps"
	"reflect"
	"slices"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// Diff returns the delta that leads from one view to a later one. The versions may be
// of different leaders of control.
func Diff(from, to *View) *Delta {
	delta := &Delta{From: from.Version, To: to.Version}
	delta.Proxies, delta.RemovedProxies = diffEntries(from.Proxies, to.Proxies, equalValues[Proxy])
	delta.Members, delta.RemovedMembers = diffEntries(from.Members, to.Members, equalValues[ctserver.Announcement])
	delta.Groups, delta.RemovedGroups = diffEntries(from.Groups, to.Groups, equalGroups)
	delta.addConfig(&from.Config, &to.Config)
	return delta
}

// addConfig adds a patch that leads to a later configuration, or the whole one if the
// base has none.
func (d *Delta) addConfig(from, to *Config) {
	switch {
	case to.Revision <= from.Revision:
	case from.Revision == 0:
		config := *to
		d.Config = &config
	default:
		d.ConfigPatch = &ConfigPatch{
			Base:     from.Revision,
			Revision: to.Revision,
			Patch:    ctconfig.Diff(&from.Document, &to.Document),
		}
	}
}

// diffEntries returns the entries of to that from lacks or has with another value, and
// the keys that only from has. Both are sorted by key.
func diffEntries[K ~string, V any](from, to map[K]V, equal func(a, b V) bool) (changed []V, removed []K) {
	for _, key := range slices.Sorted(maps.Keys(to)) {
		if before, ok := from[key]; !ok || !equal(before, to[key]) {
			changed = append(changed, to[key])
		}
	}
	for _, key := range slices.Sorted(maps.Keys(from)) {
		if _, ok := to[key]; !ok {
			removed = append(removed, key)
		}
	}
	return changed, removed
}

func equalValues[V comparable](a, b V) bool {
	return a == b
}

func equalGroups(a, b Group) bool {
	return reflect.DeepEqual(a, b)
}
