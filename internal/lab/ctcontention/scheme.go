package ctcontention

import (
	"math/rand/v2"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctadmission"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctretry"
)

// NewScheme makes the scheme of one proxy.
type NewScheme func(d Deployment, random *rand.Rand) Scheme

// Scheme decides for one proxy when statements are sent to the member and connections opened.
type Scheme interface {
	// maxOpen returns how many connections may be open or being opened.
	maxOpen(now time.Time, share, dialing int) int
	opened(now time.Time, open int)
	openRejected(now time.Time, open int)
	maySend(now time.Time) bool
	sent(now time.Time)
	answered(now, sentAt time.Time, rejected bool)
	// restarted is called after the proxy has lost power.
	restarted(now time.Time)
	// resendDelay returns when a rejected statement is sent again.
	resendDelay(rejections int) time.Duration
}

// uncontrolled is the scheme without admission control: connections are opened after a pause that
// doubles, and a rejected statement is sent again after 15 ms.
type uncontrolled struct {
	failures int
	nextAt   time.Time
}

func (u *uncontrolled) maxOpen(now time.Time, share, _ int) int {
	if now.Before(u.nextAt) {
		return 0
	}
	return share
}
func (u *uncontrolled) opened(time.Time, int) { u.failures = 0 }
func (u *uncontrolled) openRejected(now time.Time, _ int) {
	u.nextAt = now.Add(min(50*time.Millisecond<<min(u.failures, 8), time.Second))
	u.failures++
}
func (u *uncontrolled) maySend(time.Time) bool              { return true }
func (u *uncontrolled) sent(time.Time)                      {}
func (u *uncontrolled) answered(time.Time, time.Time, bool) {}
func (u *uncontrolled) restarted(time.Time)                 {}
func (u *uncontrolled) resendDelay(int) time.Duration       { return 15 * time.Millisecond }

// controlled is the scheme with admission control.
type controlled struct {
	limit   ctadmission.Limit
	opening ctadmission.Opening
	random  *rand.Rand
}

func (c *controlled) maxOpen(now time.Time, share, dialing int) int {
	return c.opening.Max(now, share, dialing)
}
func (c *controlled) opened(now time.Time, open int)       { c.opening.Opened(now, open) }
func (c *controlled) openRejected(now time.Time, open int) { c.opening.Rejected(now, open, c.random) }
func (c *controlled) maySend(now time.Time) bool           { return c.limit.Allows(now) }
func (c *controlled) sent(time.Time)                       { c.limit.Start() }
func (c *controlled) answered(now, sentAt time.Time, rejected bool) {
	var outcome ctadmission.Outcome = ctadmission.Answered{Latency: now.Sub(sentAt)}
	if rejected {
		outcome = ctadmission.Rejected{}
	}
	c.limit.Finish(now, sentAt, outcome, c.random)
}
func (c *controlled) restarted(now time.Time) { c.opening.Begin(now, 1, c.random) }
func (c *controlled) resendDelay(rejections int) time.Duration {
	return max(15*time.Millisecond, ctretry.Backoff(rejections, c.random))
}

// WithoutControl returns a scheme for each proxy of a deployment without admission control.
func WithoutControl(Deployment, *rand.Rand) Scheme {
	return &uncontrolled{}
}

// WithControl returns a scheme for each proxy of a deployment with admission control.
func WithControl(d Deployment, random *rand.Rand) Scheme {
	return &controlled{random: random, limit: ctadmission.Limit{Slots: Slots, Processes: d.Count}}
}
