package ctsuccession

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// lostLogs is the state of the members' logs that were lost in a term. A lost log may have been
// the only one of a replica with an acknowledged commit. The zero value is a term without a lost
// log.
type lostLogs struct {
	// term is the group's term, or 0 before it is known.
	term ctposition.Term
	// point is a point of the primary's log that includes all that the lost logs had, except
	// for the uncovered ones.
	point ctposition.Point
	// uncovered are the logs that were lost since the primary last reported the end of its own.
	uncovered map[ctid.Member]lostLog
}

// lostLog is the loss of one member's log.
type lostLog struct {
	// at is when the loss was recorded first, perhaps by an earlier leader.
	at time.Time
	// coveredFrom is the earliest time of a command whose answer from the primary covers the log.
	coveredFrom time.Time
}

// enter forgets the losses of earlier terms. A primary was promoted with every acknowledged
// commit, so that nothing hangs on them any more.
func (l *lostLogs) enter(term ctposition.Term) {
	if term <= l.term {
		return
	}
	if l.term > 0 {
		*l = lostLogs{}
	}
	l.term = term
}

// record records that a member has lost its log. Beyond ctview.MaxUncovered it drops the oldest
// loss, which every answer covers that covers a later one.
func (l *lostLogs) record(now time.Time, name ctid.Member) {
	if l.uncovered == nil {
		l.uncovered = make(map[ctid.Member]lostLog)
	}
	l.uncovered[name] = lostLog{at: now, coveredFrom: now}
	if len(l.uncovered) <= ctview.MaxUncovered {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(l.uncovered)), func(a, b ctid.Member) int {
		return cmp.Or(l.uncovered[a].coveredFrom.Compare(l.uncovered[b].coveredFrom), cmp.Compare(a, b))
	})
	delete(l.uncovered, oldest)
}

// cover records the end of a primary's log in the answer to a command sent at sentAt. Only the
// primary of the group's term has all that the lost logs had: one of an earlier term lacks the
// commits that were acknowledged since.
func (l *lostLogs) cover(sentAt time.Time, term ctposition.Term, point ctposition.Point) {
	if term != l.term {
		return
	}
	for name, log := range l.uncovered {
		if !sentAt.Before(log.coveredFrom) {
			delete(l.uncovered, name)
			l.point = ctposition.Later(l.point, point)
		}
	}
}

// covered reports whether the primary has reported a point that includes all that the lost logs
// had. Its own log doesn't count: the replicas' logs together have every acknowledged commit.
func (l *lostLogs) covered(primary ctid.Member) bool {
	for name := range l.uncovered {
		if name != primary {
			return false
		}
	}
	return true
}

// includedIn reports whether a log that ends at a point is known to have all that the lost logs
// had.
func (l *lostLogs) includedIn(received ctposition.Point, primary ctid.Member) bool {
	return l.covered(primary) && comparePoints(received, l.point) >= 0
}

// LostLogs returns the losses of the group's term, or the zero value and false if there are none.
// They have to be durable before it is confirmed to a member that it has ended or has started
// again, so that the next leader takes them into account.
func (m *Machine) LostLogs(group ctid.Group) (ctview.LostLogs, bool) {
	logs := ctview.LostLogs{Group: group, Term: m.lost.term, Point: m.lost.point}
	for _, name := range slices.Sorted(maps.Keys(m.lost.uncovered)) {
		_, gone := m.gone[name]
		logs.Uncovered = append(logs.Uncovered, ctview.LostLog{Member: name, At: m.lost.uncovered[name].at, Gone: gone})
	}
	if logs.Point.IsZero() && len(logs.Uncovered) == 0 {
		return ctview.LostLogs{}, false
	}
	return logs, true
}

// RestoreLostLogs starts with the losses that earlier leaders recorded in the group's term.
// Their clocks are not compared with this one's: only an answer to a command of this leader
// covers a log.
func (m *Machine) RestoreLostLogs(logs ctview.LostLogs) {
	if logs.Term != m.lost.term {
		return
	}
	m.lost.point = logs.Point
	for _, log := range logs.Uncovered {
		m.lost.record(m.startedAt, log.Member)
		m.lost.uncovered[log.Member] = lostLog{at: log.At, coveredFrom: m.startedAt}
		if _, heard := m.members[log.Member]; log.Gone && !heard {
			m.gone[log.Member] = m.startedAt
		}
	}
}
