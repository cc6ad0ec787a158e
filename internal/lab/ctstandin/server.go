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

// logWaitTimeout is how long a replica's query for log entries may wait. It then gets
// an empty answer.
const logWaitTimeout = 200 * time.Millisecond

// Server is a stand-in backend server. Create it with New.
type Server struct {
	Options

	sessions cttable.Table[sessionID, session]
	database cttable.Cell[database]
	pool     ctpool.Pool[event]
	// sessionDeadlines continues requests at the end of their delay or log wait.
	sessionDeadlines ctdeadline.Queue[sessionID]
	// applyDeadlines applies log entries at the end of their apply lag. Its keys are
	// the numbers of entries to apply to.
	applyDeadlines ctdeadline.Queue[int]
	lastSessionID  atomic.Uint32
	// followCommands passes Follow statements to runReplication. It holds at most the
	// newest one.
	followCommands chan ctsql.Follow
}

// event makes a worker start, continue or cancel a session's request.
type event struct {
	session sessionID
	// request is a new request; nil continues the one that waits.
	request *request
	// cancel makes the current request end with an error.
	cancel bool
}

// New returns a stand-in. Run starts it.
func New(options Options) *Server {
	s := &Server{
		Options:        options,
		sessions:       cttable.Table[sessionID, session]{Rank: ctlock.RankSessions},
		database:       cttable.Cell[database]{Rank: ctlock.RankStandin},
		followCommands: make(chan ctsql.Follow, 1),
	}
	s.pool = ctpool.Pool[event]{Handle: s.handle}
	s.sessionDeadlines = ctdeadline.Queue[sessionID]{Clock: options.Clock, OnExpired: func(id sessionID) {
		s.enqueue(event{session: id})
	}}
	s.applyDeadlines = ctdeadline.Queue[int]{Clock: options.Clock, OnExpired: s.applyLog}
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

// Run serves both addresses until ctx ends. It fails if an address can't be opened.
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
	go s.sessionDeadlines.Run(ctx)
	go s.applyDeadlines.Run(ctx)
	go s.runReplication(ctx)
	go s.announcePeriodically(ctx)
	server := &http.Server{Handler: s.routes(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(admin) }()
	go s.accept(listener)
	s.Logger.Info().Str("event", "started").Str("listen", listener.Addr().String()).Send()
	<-ctx.Done()
	_ = listener.Close()
	return errors.Wrap(server.Close(), "close the admin address")
}

// accept serves each new connection in its own goroutine until the listener closes.
func (s *Server) accept(listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(socket)
	}
}

// enqueue hands an event to the worker of its session.
func (s *Server) enqueue(e event) {
	s.pool.Put(ctpool.Key(e.session), e)
}

// handle handles an event in the worker of the session's key. Events of closed
// sessions and late wake-ups are ignored.
func (s *Server) handle(held *ctlock.Held, e event) {
	var sess *session
	s.sessions.With(held, func(sessions map[sessionID]*session) { sess = sessions[e.session] })
	if sess == nil {
		return
	}
	switch {
	case e.request != nil:
		sess.request, sess.cancelled = e.request, false
		if s.startRequest(held, sess) {
			return
		}
	case sess.request == nil:
		return
	case e.cancel:
		sess.cancelled = true
	}
	s.completeRequest(held, sess)
}

// startRequest counts a request and sets the deadline at which it completes. It
// reports false if the request has no delay and can complete at once.
func (s *Server) startRequest(held *ctlock.Held, sess *session) bool {
	r := sess.request
	statements := r.statements(sess)
	var duration time.Duration
	s.database.With(held, func(d *database) {
		for _, st := range statements {
			if isSystemStatement(st) {
				continue
			}
			r.usesSlot = true
			duration += d.faults.StatementDelay.Duration() + sleepDuration(st)
		}
		if r.usesSlot {
			d.recordStart(s.Slots)
		}
	})
	if duration == 0 {
		return false
	}
	s.sessionDeadlines.Set(sess.id, s.Clock.Now().Add(duration))
	return true
}

// completeRequest runs a request and sends its answer to the connection. A request
// that must wait for log entries runs again after a commit or logWaitTimeout.
func (s *Server) completeRequest(held *ctlock.Held, sess *session) {
	var data []byte
	done, truncate := true, false
	var readers []sessionID
	s.database.With(held, func(d *database) {
		commitsBefore := d.counters.Commits
		if sess.cancelled {
			data = sess.cancelledAnswer()
		} else {
			data, done = sess.run(s, d, sess.request)
		}
		if !done {
			d.logReaders = append(d.logReaders, sess.id)
			return
		}
		if sess.request.usesSlot {
			d.runningRequests--
			truncate = d.recordAnswer()
		}
		if d.counters.Commits != commitsBefore {
			readers, d.logReaders = d.logReaders, nil
		}
	})
	for _, id := range readers {
		s.enqueue(event{session: id})
	}
	if !done {
		s.sessionDeadlines.Set(sess.id, s.Clock.Now().Add(logWaitTimeout))
		return
	}
	s.sessionDeadlines.Clear(sess.id)
	sess.request = nil
	reply := answer{data: data, close: sess.terminated}
	if truncate {
		reply = reply.firstHalf()
	}
	sess.answers <- reply
}
