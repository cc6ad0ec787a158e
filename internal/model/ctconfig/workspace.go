package ctconfig

import (
	"math"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
)

// Workspace is a set of callers that share keys, a priority and a rate limit.
type Workspace struct {
	Name ctid.Workspace `json:"name" cbor:"name"`
	// Keys holds the digests of the keys that identify the workspace's callers.
	Keys []ctid.KeyDigest `json:"keys,omitempty" cbor:"keys,omitempty"`
	// Priority is 0 for the most urgent workspaces, and higher for less urgent ones. It
	// orders requests of the same route priority.
	Priority int `json:"priority,omitempty" cbor:"priority,omitempty"`
	// Limit bounds the operations of the workspace over all proxies; nil for no limit.
	Limit *RateLimit `json:"limit,omitempty" cbor:"limit,omitempty"`
}

// RateLimit bounds how many operations may start. An operation is a transaction, or a
// statement outside of one.
type RateLimit struct {
	// PerSecond is the sustained rate in operations per second.
	PerSecond float64 `json:"per_second" cbor:"per_second"`
	// Burst is how many operations may start at once above that rate.
	Burst float64 `json:"burst" cbor:"burst"`
}

// Check returns an error of kind cterror.Invalid for a negative or infinite bound.
func (l *RateLimit) Check() error {
	for _, bound := range []float64{l.PerSecond, l.Burst} {
		if !(bound >= 0) || math.IsInf(bound, 0) {
			return cterror.Newf(cterror.Invalid, "give numbers from 0", "a rate limit is %v a second with a burst of %v",
				l.PerSecond, l.Burst)
		}
	}
	return nil
}

// Check returns an error of kind cterror.Invalid for the first invalid field.
func (w *Workspace) Check() error {
	if err := w.Name.Check(); err != nil {
		return err
	}
	if w.Priority < 0 {
		return cterror.Newf(cterror.Invalid, "give a priority from 0", "workspace %q has priority %d",
			w.Name, w.Priority)
	}
	for _, key := range w.Keys {
		if key.IsZero() {
			return cterror.Newf(cterror.Invalid, "give the key a value", "workspace %q has an empty key", w.Name)
		}
	}
	if w.Limit == nil {
		return nil
	}
	return w.Limit.Check()
}

// checkWorkspaces checks the workspaces. A key may identify one workspace only.
func (d *Document) checkWorkspaces() error {
	var seen ctset.Set[ctid.Workspace]
	holders := make(map[ctid.KeyDigest]ctid.Workspace)
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		if err := w.Check(); err != nil {
			return err
		}
		if !seen.Add(w.Name) {
			return cterror.Newf(cterror.Invalid, "join them into one", "workspace %q is declared twice", w.Name)
		}
		for _, key := range w.Keys {
			if holder, held := holders[key]; held && holder != w.Name {
				return cterror.Newf(cterror.Invalid, "give each workspace keys of its own",
					"workspaces %q and %q share a key", holder, w.Name)
			}
			holders[key] = w.Name
		}
	}
	return nil
}

// Workspace returns the declaration of the named workspace, and whether there is one.
func (d *Document) Workspace(name ctid.Workspace) (Workspace, bool) {
	for i := range d.Workspaces {
		if d.Workspaces[i].Name == name {
			return d.Workspaces[i], true
		}
	}
	return Workspace{}, false
}
