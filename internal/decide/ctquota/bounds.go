package ctquota

import (
	"math"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctdrift"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// DefaultWindow is the window of a deployment whose settings name none.
const DefaultWindow = 5 * time.Second

// LeaseTTL is the duration of a cap, counted from when the holder sent its report.
//
// It is longer than control takes to elect a leader after all its processes have restarted, so
// that proxies that went on running still have their caps then.
const LeaseTTL = 3500 * time.Millisecond

// Bounds say how strictly the limits of workspaces are enforced.
type Bounds struct {
	// Window is the length of the sliding window; 0 means DefaultWindow.
	Window time.Duration
	// Overage is the fraction of the limit by which the operations in a window may exceed it,
	// and Slack a number of operations by which they may exceed it in addition.
	Overage float64
	Slack   float64
}

// WindowOrDefault returns Window, or DefaultWindow if that is not set.
func (b Bounds) WindowOrDefault() time.Duration {
	if b.Window <= 0 {
		return DefaultWindow
	}
	return b.Window
}

// Ceiling returns how many operations of a workspace may start in any window.
func (b Bounds) Ceiling(limit ctconfig.RateLimit) ctid.Operations {
	within := limit.PerSecond*b.WindowOrDefault().Seconds() + limit.Burst
	return ctid.Operations(math.Floor(min(within*(1+b.Overage)+b.Slack, float64(ctview.MaxOperations))))
}

// countedWindow returns how long a process counts an operation by its own clock, so that
// it is counted for a window by any other clock.
func (b Bounds) countedWindow() time.Duration {
	return ctdrift.UpperBound(b.WindowOrDefault())
}

// unknownTime returns for how long a new leader may not know all that counts: the caps of
// its predecessor, and the operations that started under them.
func (b Bounds) unknownTime() time.Duration {
	return ctdrift.UpperBound(LeaseTTL) + b.countedWindow()
}
