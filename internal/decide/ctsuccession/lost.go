package ctsuccession

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

// lostLogs is the state of the members' logs that were lost in a term: their members started
// again, were deregistered or were replaced. A lost log may have been the only one of a replica
// with an acknowledged commit. The zero value is a term without a lost log.
type lostLogs struct {
	// lostAt is when the last log was lost, or zero.
	lostAt time.Time
	// point is a point of the primary's log that includes all that the lost logs had. It is
	// known if covered is set.
	point   ctposition.Point
	covered bool
}

// record records that a log was lost.
func (l *lostLogs) record(now time.Time) {
	*l = lostLogs{lostAt: now}
}

// cover records the end of the primary's log in the answer to a command sent at sentAt.
func (l *lostLogs) cover(sentAt time.Time, point ctposition.Point) {
	if !l.lostAt.IsZero() && !l.covered && !sentAt.Before(l.lostAt) {
		l.point, l.covered = point, true
	}
}

// includedIn reports whether a log that ends at a point is known to have all that the lost logs
// had.
func (l *lostLogs) includedIn(received ctposition.Point) bool {
	return l.lostAt.IsZero() || (l.covered && comparePoints(received, l.point) >= 0)
}
