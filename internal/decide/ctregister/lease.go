package ctregister

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// recentConfigCount is how many of the newest configurations an earlier leader may
// still have granted leases under. A change is based on the one before it, so
// that few are on their way at one time.
const recentConfigCount = 8

// LongestLease returns the longest write lease that an earlier leader of control
// may have granted to a group under any of the newest configurations.
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
