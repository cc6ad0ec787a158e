package ctstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctsql"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctwal"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctbackend"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// Limits of replication.
const (
	// fetchTimeout bounds dialing the primary and each query for log entries.
	fetchTimeout = 2 * time.Second
	// fetchRetryDelay is the pause before a replica dials the primary again.
	fetchRetryDelay = 20 * time.Millisecond
	// maxDelayedBatches is how many batches may wait until their receive lag has passed.
	// If there are more, fetching pauses.
	maxDelayedBatches = 1024
)

// logBatch holds the log entries of one answer. The replica appends them at receiveAt.
type logBatch struct {
	entries   []ctwal.Entry
	receiveAt time.Time
}

// requestFollow makes the replication change to the primary of a Follow statement. It
// replaces an earlier one that runReplication has not received yet.
func (s *Server) requestFollow(command ctsql.Follow) {
	select {
	case <-s.followCommands:
	default:
	}
	s.followCommands <- command
}

// runReplication replicates from the primary of the newest Follow statement until ctx
// ends. A replica starts with the primary named in the options, if there is one.
func (s *Server) runReplication(ctx context.Context) {
	if s.Role == ctserver.RoleReplica && s.Primary.IsValid() {
		s.requestFollow(ctsql.Follow{Term: 1, Address: s.Primary.String()})
	}
	stop := func() {}
	for {
		select {
		case <-ctx.Done():
			stop()
			return
		case command := <-s.followCommands:
			stop()
			var followCtx context.Context
			followCtx, stop = context.WithCancel(ctx)
			go s.replicateTerm(followCtx, command)
		}
	}
}

// replicateTerm replicates a primary's log until ctx ends or the member is no longer
// a replica of the term. It logs errors and dials the primary again after a delay.
func (s *Server) replicateTerm(ctx context.Context, command ctsql.Follow) {
	var held ctlock.Held
	for ctx.Err() == nil && s.isReplicaOf(&held, command) {
		if err := s.replicateFrom(ctx, &held, command); err != nil {
			s.Logger.Debug().Str("event", "replication_failed").Str("error", err.Error()).Send()
		}
		select {
		case <-ctx.Done():
		case <-s.Clock.After(fetchRetryDelay):
		}
	}
}

// replicateFrom dials the primary and replicates its log until that fails or ctx
// ends. One goroutine fetches batches while another waits for their receive lag.
func (s *Server) replicateFrom(ctx context.Context, held *ctlock.Held, command ctsql.Follow) error {
	address, err := netip.ParseAddrPort(command.Address)
	if err != nil {
		return errors.Wrap(err, "read the primary's address")
	}
	dialCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	primary, err := ctbackend.Dial(dialCtx, ctbackend.Target{
		Address: address, Database: string(s.Group), User: replicationName, ApplicationName: replicationName,
	})
	if err != nil {
		return err
	}
	defer primary.Close()
	ctx, stop := context.WithCancel(ctx)
	batches := make(chan logBatch, maxDelayedBatches)
	receiverDone := make(chan struct{})
	go func() {
		defer close(receiverDone)
		defer stop()
		s.receiveBatches(ctx, command, batches)
	}()
	defer func() {
		stop()
		<-receiverDone
	}()
	return s.fetchBatches(ctx, held, primary, command, batches)
}

// isReplicaOf reports whether the member is still a replica in the command's term.
func (s *Server) isReplicaOf(held *ctlock.Held, command ctsql.Follow) bool {
	isReplica := false
	s.database.With(held, func(d *database) {
		isReplica = d.role == ctserver.RoleReplica && d.term == command.Term
	})
	return isReplica
}

// fetchBatches queries the primary for new log entries and sends them to batches,
// until a query fails, ctx ends or the member is isolated.
func (s *Server) fetchBatches(
	ctx context.Context, held *ctlock.Held, primary *ctbackend.Conn, command ctsql.Follow, batches chan<- logBatch,
) error {
	var next int
	s.database.With(held, func(d *database) { next = d.log.ReceivedCount() })
	for {
		queryCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		rows, err := primary.Query(queryCtx, fmt.Sprintf("SELECT entry FROM group_log(%d, %d)", command.Term, next))
		cancel()
		if err != nil {
			return err
		}
		if s.currentFaults(held).Isolated {
			return errors.New("the member is isolated by a fault")
		}
		batch := logBatch{}
		for _, row := range rows {
			var e ctwal.Entry
			if err := json.Unmarshal([]byte(row[0]), &e); err != nil {
				return errors.Wrap(err, "read a log entry")
			}
			batch.entries = append(batch.entries, e)
		}
		if len(batch.entries) == 0 {
			continue
		}
		next += len(batch.entries)
		batch.receiveAt = s.Clock.Now().Add(s.currentFaults(held).ReceiveLag.Duration())
		select {
		case batches <- batch:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// receiveBatches appends each batch once its receive lag has passed. It returns when
// ctx ends or the member no longer accepts entries of the term.
func (s *Server) receiveBatches(ctx context.Context, command ctsql.Follow, batches <-chan logBatch) {
	var held ctlock.Held
	for {
		var batch logBatch
		select {
		case <-ctx.Done():
			return
		case batch = <-batches:
		}
		select {
		case <-ctx.Done():
			return
		case <-s.Clock.After(batch.receiveAt.Sub(s.Clock.Now())):
		}
		if !s.appendBatch(&held, command, batch) {
			return
		}
	}
}

// appendBatch appends a batch to the log and applies it, after the apply lag if one
// is set. It appends nothing and reports false if the member is no longer a replica
// in the term or is fenced.
func (s *Server) appendBatch(held *ctlock.Held, command ctsql.Follow, batch logBatch) bool {
	isReplica := false
	count, lag := 0, time.Duration(0)
	s.database.With(held, func(d *database) {
		isReplica = d.role == ctserver.RoleReplica && d.term == command.Term && d.fence <= d.term
		if !isReplica {
			return
		}
		d.log.Append(batch.entries...)
		count, lag = d.log.ReceivedCount(), d.faults.ApplyLag.Duration()
		if lag == 0 {
			d.log.ApplyAll()
		}
	})
	if lag > 0 {
		s.applyDeadlines.Set(count, s.Clock.Now().Add(lag))
	}
	return isReplica
}

// applyLog applies the log up to count entries. applyDeadlines calls it.
func (s *Server) applyLog(count int) {
	var held ctlock.Held
	s.database.With(&held, func(d *database) { d.log.ApplyTo(count) })
}

// currentFaults returns the faults that are set now.
func (s *Server) currentFaults(held *ctlock.Held) Faults {
	var faults Faults
	s.database.With(held, func(d *database) { faults = d.faults })
	return faults
}
