package ctheldlink

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctholderjudge"
)

// recordRequest compares a promotion request with those that the service received before.
func (j *Judge) recordRequest(r ctholderjudge.Request) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for _, v := range j.holders.Record(r) {
		switch v.(type) {
		case ctholderjudge.SharedEpoch:
			j.violate(RuleSharedEpoch, "%s", v)
		case ctholderjudge.Turns:
			j.violate(RuleTurns, "%s", v)
		case ctholderjudge.EpochOrder:
			j.violate(RuleEpochOrder, "%s", v)
		}
	}
}

// inTouch reports whether a control process was not disturbed since a time.
func (j *Judge) inTouch(holder string, since time.Time) bool {
	return !j.disturbed(Host(holder), since)
}
