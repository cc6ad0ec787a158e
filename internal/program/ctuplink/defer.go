package ctuplink

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctseek"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
)

// deferredError is the error of a report or a watch that control asked to send again later.
type deferredError struct {
	deferral ctseek.Deferral
}

func (*deferredError) Error() string {
	return "control asked to be called again later"
}

// newDeferredError returns the error for a Retry frame.
func newDeferredError(retry *ctframe.Retry) *deferredError {
	if retry.Leaderless {
		return &deferredError{deferral: ctseek.Leaderless{After: retry.After}}
	}
	return &deferredError{deferral: ctseek.Busy{After: retry.After}}
}

// recordDeferral records that control deferred a report and waits as long as it asked. It
// returns false if err is another error. The stream stays open unless control has deferred the
// reports for too long.
func (u *Uplink) recordDeferral(ctx context.Context, link *controlLink, err error) bool {
	var deferred *deferredError
	if !errors.As(err, &deferred) {
		return false
	}
	u.Metrics.Reports.WithLabelValues("deferred").Inc()
	delay, stay := link.seeker.RecordDeferral(deferred.deferral)
	u.Logger.Debug().Str("event", "report_deferred").Stringer("address", targetAddress(link.target)).
		Dur("wait", delay).Bool("stay", stay).Send()
	if !stay {
		u.recordControlLost(link, err)
		link.close()
	}
	u.pause(ctx, delay)
	return true
}

// pause waits until ctx ends or a time has passed.
func (u *Uplink) pause(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-u.Clock.After(delay):
	}
}

// pauseAfterDeferral waits as long as control asked to wait with the next watch, and up to as
// long again, so that the proxies that it deferred together don't return together. It returns
// false if err is another error.
func (w *watcher) pauseAfterDeferral(ctx context.Context, err error) bool {
	var deferred *deferredError
	if !errors.As(err, &deferred) {
		return false
	}
	after := time.Duration(0)
	switch d := deferred.deferral.(type) {
	case ctseek.Busy:
		after = d.After
	case ctseek.Leaderless:
		after = d.After
	}
	after = max(after, watchRetryDelay)
	w.uplink.pause(ctx, after+rand.N(after))
	return true
}
