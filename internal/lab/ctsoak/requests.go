package ctsoak

import "github.com/cherviltrestle/cherviltrestle/internal/lab/ctholderjudge"

// stableWindow is how long after a disturbance of a process its timing is not judged.
const stableWindow = ctholderjudge.StableWindow

// recordRequest checks a promotion request against those that the service received before.
func (c *Checker) recordRequest(r ctholderjudge.Request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, v := range c.holders.Record(r) {
		switch v.(type) {
		case ctholderjudge.SharedEpoch:
			c.recordViolationLocked(InvariantSharedEpoch, "%s", v)
		case ctholderjudge.Turns:
			c.recordViolationLocked(InvariantTurns, "%s", v)
		case ctholderjudge.EpochOrder:
			c.recordViolationLocked(InvariantEpochOrder, "%s", v)
		}
	}
}
