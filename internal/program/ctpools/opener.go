package ctpools

import (
	"context"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// Opener opens connections that belong to no pool. Its exported fields are set before use.
// Its methods may be called from several goroutines.
type Opener struct {
	Dialer Dialer
	Clock  ctclock.Clock
	Logger zerolog.Logger
	// AnswersInDoubt counts the answers that don't belong to their queries; nil if nothing
	// is counted.
	AnswersInDoubt *prometheus.CounterVec

	count atomic.Uint64
}

// Open opens a connection to a member. The caller owns it until it calls Close.
func (o *Opener) Open(ctx context.Context, server ctserver.Announcement) (*Conn, error) {
	raw, err := o.Dialer.Dial(ctx, server, "")
	if err != nil {
		return nil, err
	}
	reporter := doubtReporter{
		logger: o.Logger, answers: o.AnswersInDoubt,
		member: server.Member, number: ctid.Connection(o.count.Add(1)),
	}
	return newConn(server, newDirectExecutor(raw, o.Clock, reporter)), nil
}
