package ctconfig

import (
	"strings"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
)

// maxGroupSize is how many members a group may have.
const maxGroupSize = 9

// Group declares a database group.
type Group struct {
	Name ctid.Group `json:"name" cbor:"name"`
	// Size is how many members the group has. Confirmations and promotions
	// need a majority of it.
	Size int `json:"size" cbor:"size"`
	// Promotion tells who makes a member the primary.
	Promotion Promotion `json:"promotion,omitempty" cbor:"promotion,omitempty"`
	// Connections is how many connections each member accepts from all proxies
	// together; 0 where its announcement tells.
	Connections int `json:"connections,omitempty" cbor:"connections,omitempty"`
	// SyncReplicas is how many replicas have received a commit before the
	// primary acknowledges it; 0 where control confirms by a majority.
	SyncReplicas int `json:"sync_replicas,omitempty" cbor:"sync_replicas,omitempty"`
}

// Promotion tells who makes a member the primary. The zero value stands for
// control, through the member's holder.
type Promotion string

// PromotionExternal means that control orders promotions from a service outside
// of the system.
const PromotionExternal Promotion = "external"

// Exception replaces some defaults for one group.
type Exception struct {
	Group ctid.Group `json:"group" cbor:"group"`
	// Reason says in words why the exception stands.
	Reason string `json:"reason" cbor:"reason"`
	// ExpiresAt ends the exception; absent, it stands until it is removed.
	ExpiresAt *time.Time `json:"until,omitempty" cbor:"until,omitempty"`
	Settings  Settings   `json:"settings" cbor:"settings"`
}

// InForce reports whether the exception stands at the time now.
func (e *Exception) InForce(now time.Time) bool {
	return e.ExpiresAt == nil || now.Before(*e.ExpiresAt)
}

// ExpiryText tells in words until when the exception stands.
func (e *Exception) ExpiryText() string {
	if e.ExpiresAt == nil {
		return "without an end"
	}
	return "until " + e.ExpiresAt.Format(time.RFC3339)
}

// Document is a whole configuration.
type Document struct {
	Defaults   Settings    `json:"defaults,omitzero" cbor:"defaults,omitzero"`
	Groups     []Group     `json:"groups" cbor:"groups"`
	Exceptions []Exception `json:"exceptions,omitempty" cbor:"exceptions,omitempty"`
	Routes     []Route     `json:"routes,omitempty" cbor:"routes,omitempty"`
}

// Check reports the first fault of the document.
func (d *Document) Check() error {
	if err := d.Defaults.Check(); err != nil {
		return err
	}
	declared, err := d.checkGroups()
	if err != nil {
		return err
	}
	if err := d.checkRoutes(declared); err != nil {
		return err
	}
	return d.checkExceptions(declared)
}

func (d *Document) checkGroups() (ctset.Set[ctid.Group], error) {
	var declared ctset.Set[ctid.Group]
	for _, g := range d.Groups {
		if err := g.Name.Check(); err != nil {
			return declared, err
		}
		if g.Promotion == PromotionExternal && g.Size == 0 {
			g.Size = 1
		}
		if g.Size < 1 || g.Size > maxGroupSize {
			return declared, cterror.Newf(cterror.Invalid, "give a size from 1 to 9", "group %s has size %d", g.Name, g.Size)
		}
		if !declared.Add(g.Name) {
			return declared, cterror.Newf(cterror.Invalid, "remove one of them", "group %s is declared twice", g.Name)
		}
	}
	return declared, nil
}

func (d *Document) checkExceptions(declared ctset.Set[ctid.Group]) error {
	var seen ctset.Set[ctid.Group]
	for i := range d.Exceptions {
		e := &d.Exceptions[i]
		if !declared.Has(e.Group) {
			return cterror.Newf(cterror.Invalid, "declare the group or remove the exception",
				"exception for group %q, which is not declared", e.Group)
		}
		if strings.TrimSpace(e.Reason) == "" {
			return cterror.Newf(cterror.Invalid, "write down why the group needs it",
				"exception for group %s has no reason", e.Group)
		}
		if !seen.Add(e.Group) {
			return cterror.Newf(cterror.Invalid, "join them into one", "group %s has two exceptions", e.Group)
		}
		if err := e.Settings.Check(); err != nil {
			return err
		}
	}
	return nil
}

// Group returns the declaration of the named group.
func (d *Document) Group(name ctid.Group) (Group, bool) {
	for _, g := range d.Groups {
		if g.Name == name {
			return g, true
		}
	}
	return Group{}, false
}

// EffectiveSettings returns the settings that hold for a group at the time now.
func (d *Document) EffectiveSettings(name ctid.Group, now time.Time) Settings {
	for i := range d.Exceptions {
		e := &d.Exceptions[i]
		if e.Group == name && e.InForce(now) {
			return e.Settings.WithDefaults(d.Defaults)
		}
	}
	return d.Defaults
}
