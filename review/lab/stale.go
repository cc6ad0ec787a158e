package main

import (
	"errors"
	"os"
	"time"
)

// Limits and doses of the case "stale".
const (
	// maxStaleness is that of the route.
	maxStaleness = 1500 * time.Millisecond
	// laggingBy is the lag of replicas that fall behind: 150 times the usual 20 ms.
	laggingBy = 150 * usualLag
	// lagLasts is how long they fall behind.
	lagLasts = 7 * time.Second
	// drainPeriod is how long a member serves after its drain was confirmed, and linger how
	// much longer.
	drainPeriod = 7 * time.Second
	linger      = 3 * time.Second
	// readTransactions is how many read transactions are open through one proxy.
	readTransactions = 3
)

// runStale replaces a primary while replicas lag and a read transaction is open on it.
func runStale(rec *Recorder, trouble bool) error {
	f, err := StartFleet(rec, 3, 3, 1)
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	err = f.PublishConfig([]Route{
		{Host: "fiti832ti23", Type: "primary", TimeoutMS: 1000, TargetMS: 800},
		{Host: "xapu221ny95", Type: "bounded_staleness", TimeoutMS: 3000, TargetMS: 1200, MaxStaleMS: int(maxStaleness.Milliseconds())},
	})
	if err != nil {
		return err
	}
	if err := f.AwaitServing("fiti832ti23", 6*time.Second); err != nil {
		return err
	}
	commits, reads, others := &History{}, &History{}, &History{}
	stop := make(chan struct{})
	go f.loop(commits, f.Proxies[1], "fiti832ti23", "writer", "WRITE 1a4 x", 40*time.Millisecond, stop)
	for range 3 {
		go f.loop(reads, f.Proxies[2], "xapu221ny95", "reader", "READ 1a4", 60*time.Millisecond, stop)
	}
	for range transactionsWanted() {
		go f.readTransaction(others, f.Proxies[2], "fiti832ti23")
		time.Sleep(250 * time.Millisecond)
	}
	if trouble {
		first, _ := f.Group.Lead()
		rec.Log("TROUBLE: the primary %s is to be replaced; it reports draining", first.ID)
		f.Group.Do(func() { first.leaving = true })
		go f.endAfterDrain(first)
		if err := f.awaitSuccessor(first); err != nil {
			return err
		}
		rec.Log("TROUBLE: both replicas fall behind by %s for %s", laggingBy, lagLasts)
		f.setReplicaLag(laggingBy)
		time.AfterFunc(lagLasts, func() {
			rec.Log("replicas no longer fall behind")
			f.setReplicaLag(usualLag)
		})
	}
	time.Sleep(11 * time.Second)
	close(stop)
	time.Sleep(300 * time.Millisecond)
	if !trouble && (countOK(reads) == 0 || countOK(others) < 12*readTransactions) {
		return errors.New("the reads were not served without trouble")
	}
	judgeStale(rec, f.Group, commits.All(), reads.All(), maxStaleness)
	return nil
}

// awaitSuccessor waits until another member leads and the old primary follows it.
func (f *Fleet) awaitSuccessor(first *Member) error {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		follows := false
		f.Group.Do(func() { follows = f.Group.lead != first && first.term == f.Group.term && len(first.log) > 0 })
		if follows {
			return nil
		}
	}
	return errors.New("the primary was not replaced in time")
}

// setReplicaLag sets how late the present replicas apply.
func (f *Fleet) setReplicaLag(lag time.Duration) {
	f.Group.Do(func() {
		for _, m := range f.Group.Members {
			if m != f.Group.lead {
				m.lag = lag
			}
		}
	})
}

// endAfterDrain ends a member some time after its drain period.
func (f *Fleet) endAfterDrain(m *Member) {
	time.Sleep(drainPeriod + linger)
	f.rec.Log("member %s ends", m.ID)
	f.Group.Do(func() {
		m.running, m.primary = false, false
		for c := range m.conns {
			_ = c.socket.Close()
		}
	})
}

// loop sends a single statement again and again until stop is closed. It opens another
// session when one ends.
func (f *Fleet) loop(
	h *History, proxy *Process, database, name, text string, pause time.Duration, stop <-chan struct{},
) {
	var s *Session
	for {
		select {
		case <-stop:
			if s != nil {
				s.Close()
			}
			return
		case <-time.After(pause):
		}
		if s == nil {
			var err error
			if s, err = f.Open(h, proxy, database, name); err != nil {
				s = nil
				continue
			}
		}
		if q := s.Query(text); !q.Answer.Whole {
			s.Close()
			s = nil
		}
	}
}

// readTransaction runs a read transaction of 12 statements with pauses.
func (f *Fleet) readTransaction(h *History, proxy *Process, database string) {
	s, err := f.Open(h, proxy, database, "reporter")
	if err != nil {
		f.rec.Log("the read transaction did not start: %v", err)
		return
	}
	defer s.Close()
	s.Query("BEGIN READ")
	for range 10 {
		if q := s.Query("READ 2b7"); !q.Answer.OK() {
			return
		}
		time.Sleep(900 * time.Millisecond)
	}
	s.Query("COMMIT")
}

// transactionsWanted is readTransactions, or none if the variable READERS is 0.
func transactionsWanted() int {
	if os.Getenv("READERS") == "0" {
		return 0
	}
	return readTransactions
}
