package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Recorder writes what was sent, answered and run to a file, with the seconds since its
// start.
type Recorder struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
	// Broken holds the broken rules.
	Broken []string
}

// NewRecorder creates the record file.
func NewRecorder(path string) (*Recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Recorder{file: file, start: time.Now()}, nil
}

// Log writes one line.
func (r *Recorder) Log(format string, arguments ...any) {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", now.Sub(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// Break records a broken rule.
func (r *Recorder) Break(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	r.Log("BROKEN %s", text)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.Broken = append(r.Broken, text)
}
