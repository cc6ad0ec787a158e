package ctload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
)

// Outcome is the outcome of a request as the caller knows it from the response.
type Outcome string

// Outcomes of requests.
const (
	OutcomeRan    Outcome = "ran"
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown is the outcome of a request that may or may not have run.
	OutcomeUnknown Outcome = "unknown"
)

// Options are the settings of a load.
type Options struct {
	// Addresses are the addresses of proxies or of a backend server. Sessions are
	// spread over them.
	Addresses []string
	// Groups are the database groups. Sessions are spread over them.
	Groups   []string
	Sessions int
	// Duration is how long requests are sent.
	Duration time.Duration
	// Rate is the number of requests that all sessions together start in a second; 0
	// selects closed loops.
	Rate float64
	// ReadShare is the share of reads, from 0 to 1. The other requests are writes.
	ReadShare float64
	// MaxAge is the maximum age of the data that reads accept, such as "5s". The
	// group's default holds if it is empty.
	MaxAge string
	// SwitchProxyEvery is the number of requests after which a session switches to
	// the next address; 0 for never.
	SwitchProxyEvery int
	// IdempotencyKeys adds an idempotency key to each write.
	IdempotencyKeys bool
	// LatencyLimit is the latency up to which a request counts as goodput; 0 for any.
	LatencyLimit time.Duration
	// Seed determines the order of reads and writes. The keys of written rows begin
	// with it, so loads with different seeds write different keys.
	Seed uint64
}

// Run generates load for the duration in the options, or until the context ends. It
// then waits for the requests in progress. A session that can't connect makes Run fail;
// requests that fail are counted in the result.
func Run(ctx context.Context, options Options) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, options.Duration)
	defer cancel()
	recorders := make([]*recorder, options.Sessions)
	failures := make(chan error, options.Sessions)
	var running sync.WaitGroup
	startedAt := time.Now()
	for i := range recorders {
		recorders[i] = newRecorder(options.LatencyLimit)
		s := &session{
			options:  options,
			index:    i,
			recorder: recorders[i],
			random:   rand.New(rand.NewPCG(options.Seed, uint64(i))),
		}
		running.Add(1)
		go func() {
			defer running.Done()
			if err := s.run(ctx, startedAt); err != nil {
				failures <- err
			}
		}()
	}
	running.Wait()
	select {
	case err := <-failures:
		return nil, err
	default:
		return mergeRecorders(recorders, time.Since(startedAt)), nil
	}
}

// session sends requests one after the other. Only its own goroutine uses it.
type session struct {
	options  Options
	index    int
	recorder *recorder
	random   *rand.Rand
	// connection is nil before the first connection and after a switch to another
	// address.
	connection    *pgconn.PgConn
	requests      int
	proxySwitches int
	// token is the session token from the last switch; empty before the first one.
	token string
}

// run sends requests until the context ends. It returns an error only if it can't
// connect.
func (s *session) run(ctx context.Context, startedAt time.Time) error {
	defer s.close()
	for ctx.Err() == nil {
		if err := s.connect(ctx); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		due := s.waitUntilDue(ctx, startedAt)
		if ctx.Err() != nil {
			return nil
		}
		s.send(due)
		s.requests++
		if s.options.SwitchProxyEvery > 0 && s.requests%s.options.SwitchProxyEvery == 0 {
			s.switchProxy()
		}
	}
	return nil
}

// waitUntilDue waits for the scheduled start of the next request and returns it. In a
// closed loop that is the current time.
func (s *session) waitUntilDue(ctx context.Context, startedAt time.Time) time.Time {
	if s.options.Rate <= 0 {
		return time.Now()
	}
	requestIndex := float64(s.requests*s.options.Sessions + s.index)
	due := startedAt.Add(time.Duration(requestIndex / s.options.Rate * float64(time.Second)))
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(due)):
	}
	return due
}

// connect opens a connection if there is none or it was closed.
func (s *session) connect(ctx context.Context) error {
	if s.connection != nil && !s.connection.IsClosed() {
		return nil
	}
	address := s.options.Addresses[(s.index+s.proxySwitches)%len(s.options.Addresses)]
	config, err := pgconn.ParseConfig("postgres://load@" + address + "/" + s.group() + "?sslmode=disable")
	if err != nil {
		return errors.Wrap(err, "read the address")
	}
	if s.options.MaxAge != "" {
		config.RuntimeParams["cherviltrestle.max_age"] = s.options.MaxAge
	}
	if s.token != "" {
		config.RuntimeParams["cherviltrestle.token"] = s.token
	}
	s.connection, err = pgconn.ConnectConfig(ctx, config)
	return errors.Wrap(err, "connect")
}

// group returns the database group of the session.
func (s *session) group() string {
	return s.options.Groups[s.index%len(s.options.Groups)]
}

// switchProxy closes the connection and stores the session token. The next connection
// goes to the next address and continues the session with the token.
func (s *session) switchProxy() {
	s.token = s.connection.ParameterStatus("cherviltrestle.token")
	s.proxySwitches++
	s.close()
}

func (s *session) close() {
	if s.connection != nil {
		_ = s.connection.Close(context.Background())
		s.connection = nil
	}
}

// send sends a read or a write and records its latency since its scheduled start due,
// its outcome and the reason of its error.
func (s *session) send(due time.Time) {
	kind, statement, key := KindRead, "SELECT value FROM charts WHERE key = 'm8'", ""
	if s.random.Float64() >= s.options.ReadShare {
		kind, key = KindWrite, fmt.Sprintf("%d-%d-%d", s.options.Seed, s.index, s.requests)
		statement = fmt.Sprintf("INSERT INTO load (key, value) VALUES ('%s', 'x')", key)
		if s.options.IdempotencyKeys {
			statement = "/* idempotency_key=" + key + " */ " + statement
		}
	}
	_, err := s.connection.Exec(context.Background(), statement).ReadAll()
	outcome := outcomeOf(err)
	s.recorder.record(kind, time.Since(due), outcome)
	if reason := reasonOf(err); reason != "" {
		s.recorder.reasons[reason]++
	}
	if kind == KindWrite {
		s.recorder.writes = append(s.recorder.writes, Write{Group: s.group(), Key: key, Outcome: outcome})
	}
}

// outcomeOf derives the outcome of a request from its error. A server's error without
// an outcome in its details means that the request did not run. Other errors leave the
// outcome unknown.
func outcomeOf(err error) Outcome {
	if err == nil {
		return OutcomeRan
	}
	var serverError *pgconn.PgError
	if errors.As(err, &serverError) && strings.Contains(serverError.Detail, "outcome=ran") {
		return OutcomeRan
	}
	if errors.As(err, &serverError) && !strings.Contains(serverError.Detail, "outcome=unknown") {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// reasonOf returns the reason in the details of a server's error, or the error's code
// if there is none. It returns an empty string for other errors and for nil.
func reasonOf(err error) string {
	var serverError *pgconn.PgError
	if !errors.As(err, &serverError) {
		return ""
	}
	for _, field := range strings.Fields(serverError.Detail) {
		if reason, ok := strings.CutPrefix(field, "reason="); ok {
			return reason
		}
	}
	return serverError.Code
}
