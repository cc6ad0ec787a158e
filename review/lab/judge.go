package main

import (
	"time"
)

// ackedCommit is a commit that was acknowledged to a requester.
type ackedCommit struct {
	id     string
	term   uint64
	number int
	at     time.Time
}

// ackedCommits returns the acknowledged commits.
func ackedCommits(sent []*Sent) []ackedCommit {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	var acked []ackedCommit
	for _, q := range sent {
		run, committed := runs.Commits[q.ID]
		if q.Answer.OK() && committed {
			acked = append(acked, ackedCommit{id: q.ID, term: run.Term, number: run.Number, at: q.EndedAt})
		}
	}
	return acked
}

// keptCommits returns the commits that no promote has rolled back.
func keptCommits(g *Group, acked []ackedCommit) []ackedCommit {
	var kept []ackedCommit
	g.Do(func() {
		for _, c := range acked {
			if c.number <= len(g.lead.log) && g.lead.log[c.number-1].Term == c.term {
				kept = append(kept, c)
			}
		}
	})
	return kept
}

// judgeStale checks rule STALE: a read on a route with bounded staleness that was answered
// with success must have run on a log with every commit that was acknowledged more than
// staleness before its first byte (or that of its transaction).
func judgeStale(rec *Recorder, g *Group, commits, reads []*Sent, staleness time.Duration) {
	acked := keptCommits(g, ackedCommits(commits))
	checked, stale := 0, 0
	worst := time.Duration(0)
	for _, q := range reads {
		if !q.Answer.OK() {
			continue
		}
		runs.mutex.Lock()
		tries := runs.Reads[q.ID]
		runs.mutex.Unlock()
		for _, run := range tries {
			checked++
			var oldest *ackedCommit
			for i := range acked {
				c := &acked[i]
				lacks := c.number > run.Visible || run.Log[c.number-1].Term != c.term
				if lacks && c.at.Before(q.FirstByteAt.Add(-staleness)) && (oldest == nil || c.at.Before(oldest.at)) {
					oldest = c
				}
			}
			if oldest == nil {
				continue
			}
			stale++
			age := q.FirstByteAt.Sub(oldest.at)
			worst = max(worst, age)
			if stale <= 20 {
				rec.Break("STALE: read %s through %s ran on %s at %s, which lacks commit %s (%d.%d), acknowledged %d ms before "+
					"the first byte of the read; the route allows %d ms", q.ID, q.Proxy, run.Member.ID, run.Position, oldest.id,
					oldest.term, oldest.number, age.Milliseconds(), staleness.Milliseconds())
			}
		}
	}
	rec.Log("judged %d reads against %d acknowledged commits: %d stale, the worst by a commit acknowledged %d ms before",
		checked, len(acked), stale, worst.Milliseconds())
}
