package ctexperiment

import (
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctload"
)

// Audit compares what callers were told of their writes with the logs of the
// members.
type Audit struct {
	Acknowledged int `json:"acknowledged"`
	Unknown      int `json:"unknown"`
	// Lost were acknowledged and are in no log of a primary.
	Lost int `json:"lost"`
	// Duplicated are in a log more than once.
	Duplicated int `json:"doubled"`
	// FalselyRefused are in a log although the caller was told that they did not run.
	FalselyRefused int `json:"denied"`
}

// auditWrites reads the logs of the primaries.
func auditWrites(fleet *ctfleet.Fleet, writes []ctload.Write) (*Audit, error) {
	counts := make(map[ctload.Write]int)
	for _, group := range fleet.Shape.Groups {
		var primary *ctfleet.Process
		err := ctfleet.WaitUntil("a proxy knows the primary of "+group, func() bool {
			primary = fleet.Primary(fleet.Proxies[len(fleet.Proxies)-1], group)
			return primary != nil
		})
		if err != nil {
			return nil, err
		}
		entries, err := fleet.Log(primary)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			counts[ctload.Write{Group: group, Key: e.Key}]++
		}
	}
	audit := &Audit{}
	for _, w := range writes {
		audit.record(w, counts[ctload.Write{Group: w.Group, Key: w.Key}])
	}
	return audit, nil
}

// record counts a write that is so many times in the log.
func (a *Audit) record(w ctload.Write, count int) {
	if count > 1 {
		a.Duplicated++
	}
	switch {
	case w.Outcome == ctload.OutcomeUnknown:
		a.Unknown++
	case w.Outcome == ctload.OutcomeNotRun && count > 0:
		a.FalselyRefused++
	case w.Outcome == ctload.OutcomeRan:
		a.Acknowledged++
		if count == 0 {
			a.Lost++
		}
	}
}
