package ctregister

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// recentConfigCount is the number of newest configurations under which an earlier
// leader may have granted leases that are still valid. Each change is based on the one
// before it, so only a few changes can be in progress at the same time.
const recentConfigCount = 8

// LongestLease returns the longest write lease that an earlier leader of control may
// have granted to a group under any of the newest configurations. A new leader
// assumes that a lease of this length was granted just before it started.
func (r *Register) LongestLease(name ctid.Group) time.Duration {
	var longest time.Duration
	for _, a := range r.ConfigHistory[max(0, len(r.ConfigHistory)-recentConfigCount):] {
		document := &a.Change.Document
		for _, settings := range []ctconfig.Settings{document.Defaults, document.EffectiveSettings(name, a.AcceptedAt)} {
			longest = max(longest, settings.Failovers.LeaseTTL.Or(ctconfig.DefaultLeaseTTL))
		}
	}
	return longest
}
