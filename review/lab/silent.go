package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// Times of the case "silent".
const (
	// afterSilence is the wait before the read-back. It is longer than outer_ms and
	// recovery_s.
	afterSilence = 30 * time.Second
	// readBackFor is how long the operator reads. It is longer than stable_window_ms.
	readBackFor = 15 * time.Second
)

// runSilent makes the connections between the control processes go silent.
func runSilent(rec *Recorder, trouble bool) error {
	f, err := StartFleetWith(rec, 3, 2, 1, (*Fleet).relayControls)
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
	if err := f.AwaitServing("fiti832ti23", time.Second); err != nil {
		return err
	}
	if err := f.rollControls(); err != nil {
		return err
	}
	h := &History{}
	stop := make(chan struct{})
	for _, p := range f.Proxies {
		go f.loop(h, p, "fiti832ti23", "writer", "WRITE 1a4 x", 100*time.Millisecond, stop)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		f.Relays.Silence()
	}
	time.Sleep(afterSilence)
	rec.Log("the operator reads the configuration back")
	version, answers := f.readBack()
	close(stop)
	f.logServed(h, answers)
	if version != f.version {
		rec.Break("CONFIG: version %d was acknowledged; %s after the connections went silent, %d reads in %s brought %s",
			f.version, afterSilence, answers, readBackFor, describeVersion(version))
	}
	return nil
}

// rollControls stops and starts the control processes in turn, as for an update, with and
// without trouble. Each of them has then exchanged messages with both others.
func (f *Fleet) rollControls() error {
	for _, c := range f.Controls {
		c.Terminate(6 * time.Second)
		if err := c.Start(false); err != nil {
			return err
		}
		time.Sleep(3 * time.Second)
	}
	time.Sleep(6 * time.Second)
	return nil
}

func describeVersion(version int) string {
	if version == 0 {
		return "no configuration"
	}
	return fmt.Sprintf("version %d", version)
}

// readBack reads the configuration at one control process after another. It returns the
// version of the last whole answer, and how many reads were sent.
func (f *Fleet) readBack() (version, reads int) {
	for end := time.Now().Add(readBackFor); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		control := f.Controls[reads%len(f.Controls)]
		reads++
		code, body := call("GET", fmt.Sprintf("http://%s:%d%s", control.IP, controlPort, names.ConfigPath), nil)
		var answer struct{ Version int }
		if code == 200 && json.Unmarshal(body, &answer) == nil {
			version = answer.Version
		}
		f.rec.Log("read at %s: %d %s", control.Name, code, describeVersion(version))
	}
	return version, reads
}

// logServed logs how many writes succeeded in each ten seconds.
func (f *Fleet) logServed(h *History, _ int) {
	served := make(map[int]int)
	last := 0
	for _, q := range h.All() {
		bucket := int(q.EndedAt.Sub(f.rec.start) / (10 * time.Second))
		last = max(last, bucket)
		if q.Answer.OK() {
			served[bucket]++
		}
	}
	for i := range last + 1 {
		f.rec.Log("writes acknowledged from %d s to %d s: %d", 10*i, 10*i+10, served[i])
	}
}
