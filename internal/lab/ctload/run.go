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

// Outcome is what a caller was told of a request.
type Outcome string

// The outcomes of requests, as callers are told them.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
)

// Options are the settings of a run of load.
type Options struct {
	// Addresses are those of proxies, or of a backend server; sessions use
	// them in turn.
	Addresses []string
	// Groups are the database groups; sessions use them in turn.
	Groups   []string
	Sessions int
	Duration time.Duration
	// Rate is how many requests start a second in all; 0 for closed loops.
	Rate float64
	// ReadShare is the share of reads, from 0 to 1.
	ReadShare float64
	// MaxAge is the age that reads accept; the group's where it is empty.
	MaxAge string
	// SwitchProxyEvery makes a session move to another proxy after so many requests; 0
	// for never.
	SwitchProxyEvery int
	// IdempotencyKeys gives each write an idempotency key.
	IdempotencyKeys bool
	// LatencyLimit is how long after its start a request that ran is still of use;
	// 0 for any time.
	LatencyLimit time.Duration
	// Seed makes runs repeat their choices, and begins the keys of their rows.
	Seed uint64
}

// Run puts load on until its time is over.
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

// session sends requests one after the other.
type session struct {
	options       Options
	index         int
	recorder      *recorder
	random        *rand.Rand
	connection    *pgconn.PgConn
	requests      int
	proxySwitches int
	token         string
}

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

// waitUntilDue waits until the next request is due and returns that time.
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

// switchProxy leaves the proxy for another one, with the token of the session.
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

// reasonOf returns the reason that an error names, or the error's code.
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
