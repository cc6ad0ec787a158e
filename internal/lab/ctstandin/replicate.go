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

// The times and sizes of replication.
const (
	// fetchTime bounds one question for more of the log.
	fetchTime = 2 * time.Second
	// fetchPause is the pause after a failed one.
	fetchPause = 20 * time.Millisecond
	// fetchAhead is how many answers may wait for their receive lag to pass.
	fetchAhead = 1024
)

// parcel is a piece of the log on its way to a replica.
type parcel struct {
	entries []ctwal.Entry
	due     time.Time
}

// followLater makes the replication follow another primary.
func (s *Server) followLater(order ctsql.Follow) {
	select {
	case <-s.following:
	default:
	}
	s.following <- order
}

// replicate follows the primaries that the member is told to follow.
func (s *Server) replicate(ctx context.Context) {
	if s.Role == ctserver.RoleReplica && s.Primary.IsValid() {
		s.followLater(ctsql.Follow{Term: 1, Address: s.Primary.String()})
	}
	stop := func() {}
	for {
		select {
		case <-ctx.Done():
			stop()
			return
		case order := <-s.following:
			stop()
			var following context.Context
			following, stop = context.WithCancel(ctx)
			go s.follow(following, order)
		}
	}
}

// follow receives the log of a primary until ctx ends or the member leaves the
// term.
func (s *Server) follow(ctx context.Context, order ctsql.Follow) {
	var held ctlock.Held
	for ctx.Err() == nil && s.follows(&held, order) {
		if err := s.fetchAll(ctx, &held, order); err != nil {
			s.Logger.Debug().Str("event", "replication_failed").Str("error", err.Error()).Send()
		}
		select {
		case <-ctx.Done():
		case <-s.Clock.After(fetchPause):
		}
	}
}

func (s *Server) fetchAll(ctx context.Context, held *ctlock.Held, order ctsql.Follow) error {
	address, err := netip.ParseAddrPort(order.Address)
	if err != nil {
		return errors.Wrap(err, "read the primary's address")
	}
	dialing, cancel := context.WithTimeout(ctx, fetchTime)
	defer cancel()
	primary, err := ctbackend.Dial(dialing, ctbackend.Target{
		Address: address, Database: string(s.Group), User: replicationLabel, ApplicationName: replicationLabel,
	})
	if err != nil {
		return err
	}
	defer primary.Close()
	ctx, stop := context.WithCancel(ctx)
	parcels := make(chan parcel, fetchAhead)
	received := make(chan struct{})
	go func() {
		defer close(received)
		defer stop()
		s.receiveAll(ctx, order, parcels)
	}()
	defer func() {
		stop()
		<-received
	}()
	return s.fetch(ctx, held, primary, order, parcels)
}

// follows reports whether the member is still a replica of the term.
func (s *Server) follows(held *ctlock.Held, order ctsql.Follow) bool {
	follows := false
	s.database.With(held, func(d *database) {
		follows = d.role == ctserver.RoleReplica && d.term == order.Term
	})
	return follows
}

// fetch asks the primary for more of the log, again and again.
func (s *Server) fetch(
	ctx context.Context, held *ctlock.Held, primary *ctbackend.Conn, order ctsql.Follow, parcels chan<- parcel,
) error {
	var next int
	s.database.With(held, func(d *database) { next = d.log.ReceivedCount() })
	for {
		asking, cancel := context.WithTimeout(ctx, fetchTime)
		rows, err := primary.Query(asking, fmt.Sprintf("SELECT entry FROM group_log(%d, %d)", order.Term, next))
		cancel()
		if err != nil {
			return err
		}
		if s.faults(held).Isolated {
			return errors.New("the member is cut off")
		}
		p := parcel{}
		for _, row := range rows {
			var e ctwal.Entry
			if err := json.Unmarshal([]byte(row[0]), &e); err != nil {
				return errors.Wrap(err, "read a log entry")
			}
			p.entries = append(p.entries, e)
		}
		if len(p.entries) == 0 {
			continue
		}
		next += len(p.entries)
		p.due = s.Clock.Now().Add(s.faults(held).ReceiveLag.Duration())
		select {
		case parcels <- p:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// receiveAll takes the pieces of the log once their lag has passed.
func (s *Server) receiveAll(ctx context.Context, order ctsql.Follow, parcels <-chan parcel) {
	var held ctlock.Held
	for {
		var p parcel
		select {
		case <-ctx.Done():
			return
		case p = <-parcels:
		}
		select {
		case <-ctx.Done():
			return
		case <-s.Clock.After(p.due.Sub(s.Clock.Now())):
		}
		if !s.receive(&held, order, p) {
			return
		}
	}
}

// receive appends a piece of the log and reports whether the member still
// follows the term.
func (s *Server) receive(held *ctlock.Held, order ctsql.Follow, p parcel) bool {
	following := false
	count, lag := 0, time.Duration(0)
	s.database.With(held, func(d *database) {
		following = d.role == ctserver.RoleReplica && d.term == order.Term && d.fence <= d.term
		if !following {
			return
		}
		d.log.Append(p.entries...)
		count, lag = d.log.ReceivedCount(), d.faults.ApplyLag.Duration()
		if lag == 0 {
			d.log.ApplyAll()
		}
	})
	if lag > 0 {
		s.applies.Set(count, s.Clock.Now().Add(lag))
	}
	return following
}

// apply shows the log up to a number of entries.
func (s *Server) apply(count int) {
	var held ctlock.Held
	s.database.With(&held, func(d *database) { d.log.ApplyTo(count) })
}

func (s *Server) faults(held *ctlock.Held) Faults {
	var faults Faults
	s.database.With(held, func(d *database) { faults = d.faults })
	return faults
}
