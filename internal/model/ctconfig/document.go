package ctconfig

import (
	"strings"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
)

// maxGroupSize is the highest number of members in a group.
const maxGroupSize = 9

// Group declares a database group.
type Group struct {
	Name ctid.Group `json:"name" cbor:"name"`
	// Size is the number of members in the group. Confirmations and promotions need a
	// majority of it.
	Size int `json:"size" cbor:"size"`
	// Promotion says who promotes a member to primary.
	Promotion Promotion `json:"promotion,omitempty" cbor:"promotion,omitempty"`
	// Connections is the number of connections that each member accepts from all
	// proxies together. 0 means that the number in its announcement applies.
	Connections int `json:"connections,omitempty" cbor:"connections,omitempty"`
	// SyncReplicas is the number of replicas that have received a commit before the
	// primary acknowledges it. 0 means that a majority of the group must confirm it.
	SyncReplicas int `json:"sync_replicas,omitempty" cbor:"sync_replicas,omitempty"`
}

// Promotion says who promotes a member to primary. The zero value stands for
// control, which acts through the member's holder.
type Promotion string

// PromotionExternal means that control requests promotions from an external
// service.
const PromotionExternal Promotion = "external"

// Exception replaces some defaults for one group.
type Exception struct {
	Group ctid.Group `json:"group" cbor:"group"`
	// Reason states in words why the group needs the exception.
	Reason string `json:"reason" cbor:"reason"`
	// ExpiresAt is the end of the exception. If it is nil, the exception applies until
	// it is removed.
	ExpiresAt *time.Time `json:"until,omitempty" cbor:"until,omitempty"`
	Settings  Settings   `json:"settings" cbor:"settings"`
}

// InForce reports whether the exception applies at the time now.
func (e *Exception) InForce(now time.Time) bool {
	return e.ExpiresAt == nil || now.Before(*e.ExpiresAt)
}

// ExpiryText describes the expiry of the exception, for operators.
func (e *Exception) ExpiryText() string {
	if e.ExpiresAt == nil {
		return "without an end"
	}
	return "until " + e.ExpiresAt.Format(time.RFC3339)
}

// Document is a complete configuration.
type Document struct {
	Defaults   Settings    `json:"defaults,omitzero" cbor:"defaults,omitzero"`
	Groups     []Group     `json:"groups" cbor:"groups"`
	Exceptions []Exception `json:"exceptions,omitempty" cbor:"exceptions,omitempty"`
	Routes     []Route     `json:"routes,omitempty" cbor:"routes,omitempty"`
	// Workspaces declares the sets of callers that keys identify. If RequireKeys is set, a
	// caller is served only with a key of one of them, except on anonymous routes.
	Workspaces  []Workspace `json:"workspaces,omitempty" cbor:"workspaces,omitempty"`
	RequireKeys bool        `json:"require_keys,omitempty" cbor:"require_keys,omitempty"`
}

// Check returns an error of kind cterror.Invalid for the first invalid or
// contradictory entry.
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
	if err := d.checkWorkspaces(); err != nil {
		return err
	}
	return d.checkExceptions(declared)
}

// checkGroups checks the groups and returns the names of those that it has checked.
// For groups with external promotion, a size of 0 counts as 1.
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

// checkExceptions checks the exceptions. declared contains the names of all groups.
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

// Group returns the declaration of the named group, and whether there is one.
func (d *Document) Group(name ctid.Group) (Group, bool) {
	for _, g := range d.Groups {
		if g.Name == name {
			return g, true
		}
	}
	return Group{}, false
}

// EffectiveSettings returns the settings that apply to a group at the time now: those
// of its exception, if one is in force, and the document's defaults for the rest.
func (d *Document) EffectiveSettings(name ctid.Group, now time.Time) Settings {
	for i := range d.Exceptions {
		e := &d.Exceptions[i]
		if e.Group == name && e.InForce(now) {
			return e.Settings.WithDefaults(d.Defaults)
		}
	}
	return d.Defaults
}
