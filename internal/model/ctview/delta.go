package ctview

import (
	"slices"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// Version is the number of a version of the view. Within one control epoch, a later
// version has a higher number. A new leader of control starts above the versions of
// earlier leaders.
type Version uint64

// Delta contains the changes from one version of the view to a later one. See
// View.Apply.
type Delta struct {
	// From is the version that the delta builds on. It is 0 if the delta contains the
	// full view.
	From           Version                 `json:"from" cbor:"from"`
	To             Version                 `json:"to" cbor:"to"`
	Proxies        []Proxy                 `json:"proxies,omitempty" cbor:"proxies,omitempty"`
	RemovedProxies []ctid.Proxy            `json:"gone_proxies,omitempty" cbor:"gone_proxies,omitempty"`
	Members        []ctserver.Announcement `json:"members,omitempty" cbor:"members,omitempty"`
	RemovedMembers []ctid.Member           `json:"gone_members,omitempty" cbor:"gone_members,omitempty"`
	Groups         []Group                 `json:"groups,omitempty" cbor:"groups,omitempty"`
	RemovedGroups  []ctid.Group            `json:"gone_groups,omitempty" cbor:"gone_groups,omitempty"`
	// Config is the accepted configuration. It is nil if the configuration did not
	// change or if ConfigPatch is set.
	Config *Config `json:"config,omitempty" cbor:"config,omitempty"`
	// ConfigPatch contains the changes from the configuration of version From to the
	// accepted one.
	ConfigPatch *ConfigPatch `json:"config_patch,omitempty" cbor:"config_patch,omitempty"`
}

// ConfigPatch contains the changes from the accepted configuration of revision Base
// to a later one.
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

// largeDeltaEntries is the highest number of routes, proxies, members or groups in a delta
// that is not large.
const largeDeltaEntries = 50

// Large reports whether the delta has so many entries that it would delay a reply
// that is needed soon.
func (d *Delta) Large() bool {
	routes := 0
	switch {
	case d.ConfigPatch != nil:
		routes = len(d.ConfigPatch.Patch.Routes)
	case d.Config != nil:
		routes = len(d.Config.Document.Routes)
	}
	return max(routes, len(d.Proxies), len(d.Members), len(d.Groups)) > largeDeltaEntries
}

// Check returns an error of kind cterror.Invalid for the first invalid entry. Members are
// no reason for an error: it removes the invalid ones, so that one odd announcement does
// not keep processes from following the others.
func (d *Delta) Check() error {
	d.Members = slices.DeleteFunc(d.Members, func(m ctserver.Announcement) bool { return m.Check() != nil })
	if d.To < d.From {
		return cterror.Newf(cterror.Invalid, "send a delta that goes forward",
			"view delta goes from version %d back to %d", d.From, d.To)
	}
	for i := range d.Proxies {
		if err := d.Proxies[i].Check(); err != nil {
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
