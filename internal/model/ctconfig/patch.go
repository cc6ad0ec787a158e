package ctconfig

import (
	"cmp"
	"reflect"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
)

// Patch contains the changes from one document to another. It does not preserve the
// order of groups, exceptions, routes and workspaces, which has no meaning.
type Patch struct {
	Defaults Settings `json:"defaults,omitzero" cbor:"defaults,omitzero"`
	// Groups, Exceptions, Routes and Workspaces list the entries that are new or have changed.
	Groups            []Group      `json:"groups,omitempty" cbor:"groups,omitempty"`
	RemovedGroups     []ctid.Group `json:"gone_groups,omitempty" cbor:"gone_groups,omitempty"`
	Exceptions        []Exception  `json:"exceptions,omitempty" cbor:"exceptions,omitempty"`
	RemovedExceptions []ctid.Group `json:"gone_exceptions,omitempty" cbor:"gone_exceptions,omitempty"`
	Routes            []Route      `json:"routes,omitempty" cbor:"routes,omitempty"`
	// RemovedRoutes lists the databases whose routes are removed.
	RemovedRoutes     []ctid.Database  `json:"gone_routes,omitempty" cbor:"gone_routes,omitempty"`
	Workspaces        []Workspace      `json:"workspaces,omitempty" cbor:"workspaces,omitempty"`
	RemovedWorkspaces []ctid.Workspace `json:"gone_workspaces,omitempty" cbor:"gone_workspaces,omitempty"`
	RequireKeys       bool             `json:"require_keys,omitempty" cbor:"require_keys,omitempty"`
}

// Check returns an error of kind cterror.Invalid for the first invalid entry. It
// does not check the groups that exceptions and routes refer to, because the patch
// need not contain them. For the same reason, it compares the keys of changed workspaces only.
func (p *Patch) Check() error {
	changed := Document{Defaults: p.Defaults, Groups: p.Groups, Workspaces: p.Workspaces}
	if err := changed.Check(); err != nil {
		return err
	}
	for i := range p.Exceptions {
		if err := p.Exceptions[i].Settings.Check(); err != nil {
			return err
		}
	}
	for i := range p.Routes {
		if err := p.Routes[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// Diff returns the patch that turns the document before into the document after.
func Diff(before, after *Document) Patch {
	patch := Patch{Defaults: after.Defaults, RequireKeys: after.RequireKeys}
	patch.Groups, patch.RemovedGroups = diffEntries(before.Groups, after.Groups, groupName)
	patch.Exceptions, patch.RemovedExceptions = diffEntries(before.Exceptions, after.Exceptions, exceptionGroup)
	patch.Routes, patch.RemovedRoutes = diffEntries(before.Routes, after.Routes, routeDatabase)
	patch.Workspaces, patch.RemovedWorkspaces = diffEntries(before.Workspaces, after.Workspaces, workspaceName)
	return patch
}

// WithPatch returns the document after the patch. It does not modify the receiver.
func (d *Document) WithPatch(patch *Patch) Document {
	return Document{
		Defaults:   patch.Defaults,
		Groups:     patchEntries(d.Groups, patch.Groups, patch.RemovedGroups, groupName),
		Exceptions: patchEntries(d.Exceptions, patch.Exceptions, patch.RemovedExceptions, exceptionGroup),
		Routes:     patchEntries(d.Routes, patch.Routes, patch.RemovedRoutes, routeDatabase),
		Workspaces: patchEntries(d.Workspaces, patch.Workspaces, patch.RemovedWorkspaces, workspaceName),

		RequireKeys: patch.RequireKeys,
	}
}

func groupName(g Group) ctid.Group {
	return g.Name
}

func exceptionGroup(e Exception) ctid.Group {
	return e.Group
}

func routeDatabase(r Route) ctid.Database {
	return r.Database
}

func workspaceName(w Workspace) ctid.Workspace {
	return w.Name
}

// diffEntries returns the entries of after that are new or have changed, and the keys
// of the entries that after lacks.
func diffEntries[E any, N cmp.Ordered](before, after []E, key func(E) N) (changed []E, removed []N) {
	unmatched := make(map[N]E, len(before))
	for _, e := range before {
		unmatched[key(e)] = e
	}
	for _, e := range after {
		earlier, ok := unmatched[key(e)]
		delete(unmatched, key(e))
		if !ok || !reflect.DeepEqual(earlier, e) {
			changed = append(changed, e)
		}
	}
	for _, e := range before {
		if _, ok := unmatched[key(e)]; ok {
			removed = append(removed, key(e))
		}
	}
	return changed, removed
}

// patchEntries returns the entries of before that are neither changed nor removed,
// followed by the changed ones.
func patchEntries[E any, N cmp.Ordered](before, changed []E, removed []N, key func(E) N) []E {
	var excluded ctset.Set[N]
	for _, e := range changed {
		excluded.Add(key(e))
	}
	for _, k := range removed {
		excluded.Add(k)
	}
	if len(before)+len(changed) == 0 {
		return nil
	}
	after := make([]E, 0, len(before)+len(changed))
	for _, e := range before {
		if !excluded.Has(key(e)) {
			after = append(after, e)
		}
	}
	return append(after, changed...)
}
