package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Bounds of the case "stop".
const (
	grace = 6 * time.Second
	// transactions is how many are open at the SIGTERM.
	transactions = 8
	// excusedUntil is until when after the SIGTERM a request must have been sent for the
	// excuse of a member at work in the last sixth of the grace period.
	excusedUntil = 3 * time.Second
)

// runStop stops a proxy with SIGTERM while transactions are open.
func runStop(rec *Recorder, trouble bool) error {
	f, err := StartFleet(rec, 3, 2, 1)
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	for _, m := range f.Group.Members {
		m.Work = func() time.Duration { return time.Duration(55+rand.IntN(300)) * time.Millisecond }
	}
	err = f.PublishConfig([]Route{
		{Host: "fiti832ti23", Type: "primary", TimeoutMS: 1000, TargetMS: 800},
		{Host: "xapu221ny95", Type: "bounded_staleness", TimeoutMS: 3000, TargetMS: 1200, MaxStaleMS: 1500},
	})
	if err != nil {
		return err
	}
	if err := f.AwaitServing("fiti832ti23", 6*time.Second); err != nil {
		return err
	}
	h := &History{}
	for i := range transactions {
		go f.longTransaction(h, f.Proxies[0], fmt.Sprintf("report-%d", i))
	}
	time.Sleep(400 * time.Millisecond)
	sigterm := time.Now()
	if trouble {
		rec.Log("TROUBLE: SIGTERM to %s", f.Proxies[0].Name)
		f.Proxies[0].Terminate(grace)
	}
	time.Sleep(time.Until(sigterm.Add(9 * time.Second)))
	if !trouble && countOK(h) < 12*transactions {
		return errors.New("the transactions were not served without trouble")
	}
	judgeLost(rec, h.All(), sigterm)
	return nil
}

// longTransaction runs a read transaction of 12 statements with pauses.
func (f *Fleet) longTransaction(h *History, proxy *Process, name string) {
	s, err := f.Open(h, proxy, "xapu221ny95", name)
	if err != nil {
		f.rec.Log("%s did not start: %v", name, err)
		return
	}
	defer s.Close()
	if !s.Query("BEGIN READ").Answer.OK() {
		return
	}
	for range 10 {
		if !s.Query(fmt.Sprintf("READ %x", rand.IntN(2000))).Answer.OK() {
			return
		}
		time.Sleep(400 * time.Millisecond)
	}
	s.Query("COMMIT")
}

// judgeLost checks rule LOST around a SIGTERM: the connection of a request that was passed
// on to a member must not end without a whole answer, from the SIGTERM until 1 s after the
// grace period. The rule's excuses apply.
func judgeLost(rec *Recorder, sent []*Sent, sigterm time.Time) {
	counted := 0
	for _, q := range sent {
		counted++
		if q.Answer.Whole || q.EndedAt.Before(sigterm) || q.EndedAt.After(sigterm.Add(grace+time.Second)) {
			continue
		}
		runs.mutex.Lock()
		received, passedOn := runs.Received[q.ID]
		runs.mutex.Unlock()
		switch {
		case !passedOn:
			rec.Log("request %s was cut, but no member received it", q.ID)
		case q.At.Before(sigterm.Add(excusedUntil)):
			rec.Log("request %s was cut, sent less than 3 s after the SIGTERM", q.ID)
		default:
			rec.Break("LOST: request %s (%s) was sent %d ms after the SIGTERM, a member received it %d ms after it, and "+
				"the connection ended %d ms after it without an answer", q.ID, q.Text, q.At.Sub(sigterm).Milliseconds(),
				received.Sub(sigterm).Milliseconds(), q.EndedAt.Sub(sigterm).Milliseconds())
		}
	}
	rec.Log("judged %d requests", counted)
}
