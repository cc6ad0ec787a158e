package ctseek

import "time"

const (
	// maxBusyDeferrals is how often in a row a proxy calls a busy process again before it
	// tries another one. The others are probably busy too, and a new stream costs a process
	// more than a rejection.
	maxBusyDeferrals = 5
	// maxLeaderlessDeferrals is the same for a process without a leader. If it is cut off from
	// the leader, the proxy must reach another one before its authority expires.
	maxLeaderlessDeferrals = 1
)

// Deferral is a process's request to call again after a time. Its types are Busy and
// Leaderless.
type Deferral interface {
	isDeferral()
}

// Busy is the request of a process that has too much to do.
type Busy struct {
	After time.Duration
}

// Leaderless is the request of a process that has no reply from a leader.
type Leaderless struct {
	After time.Duration
}

func (Busy) isDeferral()       {}
func (Leaderless) isDeferral() {}

// RecordDeferral records that the target asked the proxy to call again. It returns how long to
// wait, and whether to call the same target over the same stream. If not, the attempt counts as
// a failure.
func (s *Seeker) RecordDeferral(deferral Deferral) (delay time.Duration, stay bool) {
	after, limit := time.Duration(0), 0
	switch d := deferral.(type) {
	case Busy:
		after, limit = d.After, maxBusyDeferrals
	case Leaderless:
		after, limit = d.After, maxLeaderlessDeferrals
	}
	after = max(after, 0)
	delay = after + time.Duration(s.Random.Int64N(int64(after)+1))
	s.deferrals++
	if s.deferrals > limit {
		s.RecordFailure()
		return delay, false
	}
	return delay, true
}
