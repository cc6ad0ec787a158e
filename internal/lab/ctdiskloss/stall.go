package ctdiskloss

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	// probeInterval is the time between two probes of the machine.
	probeInterval = 50 * time.Millisecond
	// maxProbe is how long a probe may take. It is shorter than the time after which control elects another
	// leader.
	maxProbe = 500 * time.Millisecond
	// maxWait bounds a wait that stalls prolong.
	maxWait = 2 * time.Minute
)

// stalls records when the machine of the lab stalled: a write took long to be synced, or a goroutine to be
// scheduled. All processes stand still then, and bounds hold from the end of the stall on.
type stalls struct {
	mutex sync.Mutex
	last  time.Time
	count int
}

// run probes until ctx ends. The file is for its own use.
func (s *stalls) run(ctx context.Context, file string) {
	for {
		begin := time.Now()
		sleeps := sleep(ctx, probeInterval)
		if !sleeps {
			return
		}
		if probe(file) != nil || time.Since(begin) > probeInterval+maxProbe {
			s.record(time.Now())
		}
	}
}

// probe writes a file and syncs it.
func probe(file string) error {
	f, err := os.OpenFile(filepath.Clean(file), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.WriteString("probe")
	if syncErr := f.Sync(); err == nil {
		err = syncErr
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (s *stalls) record(at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.last = at
	s.count++
}

// deadline returns when a bound that holds since a time ends: later, if a stall has ended since.
func (s *stalls) deadline(since time.Time, bound time.Duration) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.last.After(since) {
		since = s.last
	}
	return since.Add(bound)
}

// stallCount returns how many stalls there were.
func (s *stalls) stallCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.count
}

// await repeats a check until it succeeds, and returns false at the deadline of a bound that holds since a time.
func (s *stalls) await(
	ctx context.Context, since time.Time, bound time.Duration, succeeds func(ctx context.Context) bool,
) bool {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	for !succeeds(ctx) {
		if !time.Now().Before(s.deadline(since, bound)) || !sleep(ctx, pollInterval) {
			return false
		}
	}
	return true
}
