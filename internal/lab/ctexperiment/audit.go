package ctexperiment

import (
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctload"
)

// Audit compares the outcomes of writes that callers received with the logs of the
// primaries. Its fields count writes.
type Audit struct {
	// Acknowledged counts writes whose caller was informed that they ran.
	Acknowledged int `json:"acknowledged"`
	// Unknown counts writes whose caller can't know whether they ran.
	Unknown int `json:"unknown"`
	// Lost counts acknowledged writes that are in no log of a primary.
	Lost int `json:"lost"`
	// Duplicated counts writes that are in a log more than once.
	Duplicated int `json:"doubled"`
	// FalselyRefused counts writes that are in a log although the caller was informed
	// that they did not run.
	FalselyRefused int `json:"denied"`
}

// auditWrites compares the writes with the logs of the primaries of all groups. It
// first waits until a proxy knows each primary.
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

// record adds a write that is count times in the log of its group's primary.
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
