package main

import (
	"errors"
	"syscall"
	"time"
)

// Doses of the case "oldprimary".
const (
	// frozenFor is how long the proxy stands still. It is shorter than tx_idle_ms.
	frozenFor = 2950 * time.Millisecond
	// thinkTime is the requester's pause between two statements.
	thinkTime = 2 * time.Second
	// thawSlack is thaw_slack_ms.
	thawSlack = 300 * time.Millisecond
)

// runOldPrimary freezes a proxy with an open transaction while the primary of the transaction
// is partitioned from control, its replicas and the other proxy, and is replaced.
func runOldPrimary(rec *Recorder, trouble bool) error {
	f, err := StartFleet(rec, 3, 2, 0)
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	routes := []Route{{Host: "fiti832ti23", Type: "primary", TimeoutMS: 1000, TargetMS: 800}}
	if err := f.PublishConfig(routes); err != nil {
		return err
	}
	if err := f.AwaitServing("fiti832ti23", 6*time.Second); err != nil {
		return err
	}
	h, others := &History{}, &History{}
	stop := make(chan struct{})
	go f.loop(others, f.Proxies[1], "fiti832ti23", "reader", "READ 1a4", 100*time.Millisecond, stop)
	s, err := f.Open(h, f.Proxies[0], "fiti832ti23", "submitter")
	if err != nil {
		return err
	}
	defer s.Close()
	s.Query("BEGIN")
	s.Query("WRITE 2b7 one")
	first, _ := f.Group.Lead()
	thawedAt := make(chan time.Time, 1)
	if trouble {
		rec.Log("TROUBLE: %s is partitioned from its replicas and the core, and from %s for %s",
			first.ID, f.Proxies[1].Name, frozenFor)
		f.Group.Do(func() { first.cutFromMembers, first.cutFromControl, first.cutFromFronts = true, true, true })
		rec.Log("TROUBLE: %s freezes for %s", f.Proxies[0].Name, frozenFor)
		f.Proxies[0].Signal(syscall.SIGSTOP)
		time.AfterFunc(frozenFor, func() {
			// Nothing has come from the frozen proxy meanwhile: only the other one was cut.
			f.Group.Do(func() { first.cutFromFronts = false })
			f.Proxies[0].Signal(syscall.SIGCONT)
			thawedAt <- time.Now()
		})
	} else {
		thawedAt <- time.Now()
	}
	time.Sleep(thinkTime)
	if q := s.Query("WRITE 3c8 two"); !q.Answer.OK() {
		rec.Log("the transaction did not survive")
	}
	time.Sleep(1200 * time.Millisecond)
	commit := s.Query("COMMIT")
	if !trouble && !commit.Answer.OK() {
		return errors.New("the transaction was not served without trouble")
	}
	close(stop)
	time.Sleep(200 * time.Millisecond)
	judgeOne(rec, commit, <-thawedAt)
	f.logWhatIsKept(first, commit)
	return nil
}

// logWhatIsKept ends the partition of the old primary and logs whether the commit is kept.
func (f *Fleet) logWhatIsKept(first *Member, commit *Sent) {
	f.Group.Do(func() { first.cutFromMembers, first.cutFromControl = false, false })
	time.Sleep(3 * time.Second)
	f.Group.Do(func() {
		for _, m := range f.Group.Members {
			kept := false
			for _, entry := range m.log {
				for _, id := range entry.IDs {
					kept = kept || id == commit.ID
				}
			}
			f.rec.Log("the partition is over: the log of %s, primary %t, has commit %s: %t", m.ID, m.primary, commit.ID, kept)
		}
	})
}

// judgeOne checks rule ONE: a write must not be committed at the old primary after a
// promote has taken effect, and acknowledged to the requester.
func judgeOne(rec *Recorder, commit *Sent, thawedAt time.Time) {
	runs.mutex.Lock()
	run, committed := runs.Commits[commit.ID]
	runs.mutex.Unlock()
	rec.Log("COMMIT %s: committed %t at term %d while term %d leads; answered %q, success %t",
		commit.ID, committed, run.Term, run.LeadTerm, commit.Answer.Code, commit.Answer.OK())
	if !committed || !commit.Answer.OK() || run.Term >= run.LeadTerm {
		return
	}
	sinceThaw := commit.At.Sub(thawedAt)
	if sinceThaw <= thawSlack {
		rec.Log("not counted: the proxy thawed %d ms before", sinceThaw.Milliseconds())
		return
	}
	rec.Break("ONE: transaction with COMMIT %s was committed at the old primary %s in term %d, though term %d leads, and was "+
		"acknowledged; the proxy had thawed %d ms before the COMMIT was sent", commit.ID, run.Member.ID, run.Term, run.LeadTerm,
		sinceThaw.Milliseconds())
}
