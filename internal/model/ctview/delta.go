package ctview

import (
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// Version numbers the versions of the view, in ascending order. Versions of
// one control epoch compare; a new leader of control starts above the versions
// of the earlier ones.
type Version uint64

// Delta leads from one version of the view to a later one.
type Delta struct {
	// From is the version that the delta builds on. It is 0 for a whole view.
	From           Version                 `json:"from" cbor:"from"`
	To             Version                 `json:"to" cbor:"to"`
	Proxies        []Proxy                 `json:"proxies,omitempty" cbor:"proxies,omitempty"`
	RemovedProxies []ctid.Proxy            `json:"gone_proxies,omitempty" cbor:"gone_proxies,omitempty"`
	Members        []ctserver.Announcement `json:"members,omitempty" cbor:"members,omitempty"`
	RemovedMembers []ctid.Member           `json:"gone_members,omitempty" cbor:"gone_members,omitempty"`
	Groups         []Group                 `json:"groups,omitempty" cbor:"groups,omitempty"`
	RemovedGroups  []ctid.Group            `json:"gone_groups,omitempty" cbor:"gone_groups,omitempty"`
	// Config is the accepted configuration, absent where it did not change or
	// where there is a patch.
	Config *Config `json:"config,omitempty" cbor:"config,omitempty"`
	// ConfigPatch leads to the accepted configuration from the one that the
	// version From has.
	ConfigPatch *ConfigPatch `json:"config_patch,omitempty" cbor:"config_patch,omitempty"`
}

// ConfigPatch leads from one accepted configuration to a later one.
type ConfigPatch struct {
	Base     ctid.Revision  `json:"base" cbor:"base"`
	Revision ctid.Revision  `json:"revision" cbor:"revision"`
	Patch    ctconfig.Patch `json:"patch" cbor:"patch"`
}

// Config is an accepted configuration with its revision.
type Config struct {
	Revision ctid.Revision     `json:"revision" cbor:"revision"`
	Document ctconfig.Document `json:"document" cbor:"document"`
}

// largeDeltaEntries is how many routes, members or groups make a delta heavy.
const largeDeltaEntries = 50

// Large reports whether the delta carries so much that it should not hold up what
// has to be answered soon.
func (d *Delta) Large() bool {
	routes := 0
	switch {
	case d.ConfigPatch != nil:
		routes = len(d.ConfigPatch.Patch.Routes)
	case d.Config != nil:
		routes = len(d.Config.Document.Routes)
	}
	return max(routes, len(d.Members), len(d.Groups)) > largeDeltaEntries
}

// Check reports the first fault of the delta.
func (d *Delta) Check() error {
	if d.To < d.From {
		return cterror.Newf(cterror.Invalid, "send a delta that goes forward",
			"view delta goes from version %d back to %d", d.From, d.To)
	}
	for i := range d.Proxies {
		if err := d.Proxies[i].Check(); err != nil {
			return err
		}
	}
	for i := range d.Members {
		if err := d.Members[i].Check(); err != nil {
			return err
		}
	}
	for i := range d.Groups {
		if err := d.Groups[i].Check(); err != nil {
			return err
		}
	}
	if d.ConfigPatch != nil {
		if err := d.ConfigPatch.Patch.Check(); err != nil {
			return err
		}
	}
	if d.Config == nil {
		return nil
	}
	return d.Config.Document.Check()
}
