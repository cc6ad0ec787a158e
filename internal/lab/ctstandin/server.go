package ctstandin

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctsql"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctdeadline"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctpool"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

// streamWait is how long a replica's question for more of the log may wait.
const streamWait = 200 * time.Millisecond

// Server is a stand-in backend server.
type Server struct {
	Options

	sessions  cttable.Table[sessionID, session]
	database  cttable.Cell[database]
	pool      ctpool.Pool[event]
	deadlines ctdeadline.Queue[sessionID]
	applies   ctdeadline.Queue[int]
	last      atomic.Uint32
	following chan ctsql.Follow
}

// event is something that happened to a session.
type event struct {
	session sessionID
	// request is a new one; nil where one that waits is to go on.
	request *request
	// cancel reports that the request in hand is to be cancelled.
	cancel bool
}

// New returns a stand-in that is ready to run.
func New(options Options) *Server {
	s := &Server{
		Options:   options,
		sessions:  cttable.Table[sessionID, session]{Rank: ctlock.RankSessions},
		database:  cttable.Cell[database]{Rank: ctlock.RankStandin},
		following: make(chan ctsql.Follow, 1),
	}
	s.pool = ctpool.Pool[event]{Handle: s.handle}
	s.deadlines = ctdeadline.Queue[sessionID]{Clock: options.Clock, OnExpired: func(id sessionID) {
		s.put(event{session: id})
	}}
	s.applies = ctdeadline.Queue[int]{Clock: options.Clock, OnExpired: s.apply}
	var held ctlock.Held
	s.database.With(&held, func(d *database) {
		d.role = options.Role
		d.term = 1
		d.connections = make(map[sessionID]connection)
		d.faults = options.Faults
		d.incarnation = ctid.Incarnation(options.Clock.Now().UnixNano())
	})
	return s
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.Listen.String())
	if err != nil {
		return errors.Wrap(err, "open the PostgreSQL address")
	}
	admin, err := net.Listen("tcp", s.Admin.String())
	if err != nil {
		return errors.Wrap(err, "open the admin address")
	}
	s.pool.Start()
	go s.deadlines.Run(ctx)
	go s.applies.Run(ctx)
	go s.replicate(ctx)
	go s.announceAll(ctx)
	server := &http.Server{Handler: s.routes(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(admin) }()
	go s.accept(listener)
	s.Logger.Info().Str("event", "started").Str("listen", listener.Addr().String()).Send()
	<-ctx.Done()
	_ = listener.Close()
	return errors.Wrap(server.Close(), "close the admin address")
}

func (s *Server) accept(listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serve(socket)
	}
}

func (s *Server) put(e event) {
	s.pool.Put(ctpool.Key(e.session), e)
}

// handle starts a request, goes on with one that waited, or cancels one.
func (s *Server) handle(held *ctlock.Held, e event) {
	var to *session
	s.sessions.With(held, func(rows map[sessionID]*session) { to = rows[e.session] })
	if to == nil {
		return
	}
	switch {
	case e.request != nil:
		to.request, to.cancelled = e.request, false
		if s.start(held, to) {
			return
		}
	case to.request == nil:
		return
	case e.cancel:
		to.cancelled = true
	}
	s.finish(held, to)
}

// start counts a request and reports whether it takes time.
func (s *Server) start(held *ctlock.Held, to *session) bool {
	r := to.request
	statements := r.statements(to)
	var takes time.Duration
	s.database.With(held, func(d *database) {
		for _, st := range statements {
			if system(st) {
				continue
			}
			r.counted = true
			takes += d.faults.StatementDelay.Duration() + sleepOf(st)
		}
		if r.counted {
			d.begin(s.Slots)
		}
	})
	if takes == 0 {
		return false
	}
	s.deadlines.Set(to.id, s.Clock.Now().Add(takes))
	return true
}

// finish runs a request that has taken its time, and answers it.
func (s *Server) finish(held *ctlock.Held, to *session) {
	var data []byte
	done, cut := true, false
	var wake []sessionID
	s.database.With(held, func(d *database) {
		before := d.counters.Commits
		if to.cancelled {
			data = to.cancelledAnswer()
		} else {
			data, done = to.run(s, d, to.request)
		}
		if !done {
			d.waiting = append(d.waiting, to.id)
			return
		}
		if to.request.counted {
			d.running--
			cut = d.cuts()
		}
		if d.counters.Commits != before {
			wake, d.waiting = d.waiting, nil
		}
	})
	for _, id := range wake {
		s.put(event{session: id})
	}
	if !done {
		s.deadlines.Set(to.id, s.Clock.Now().Add(streamWait))
		return
	}
	s.deadlines.Clear(to.id)
	to.request = nil
	a := answer{data: data, close: to.terminated}
	if cut {
		a = a.half()
	}
	to.answers <- a
}
