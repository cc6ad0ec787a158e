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
	var done sync.WaitGroup
	began := time.Now()
	for i := range recorders {
		recorders[i] = newRecorder(options.LatencyLimit)
		s := &session{
			options:  options,
			number:   i,
			recorder: recorders[i],
			random:   rand.New(rand.NewPCG(options.Seed, uint64(i))),
		}
		done.Add(1)
		go func() {
			defer done.Done()
			if err := s.run(ctx, began); err != nil {
				failures <- err
			}
		}()
	}
	done.Wait()
	select {
	case err := <-failures:
		return nil, err
	default:
		return sum(recorders, time.Since(began)), nil
	}
}

// session sends requests one after the other.
type session struct {
	options    Options
	number     int
	recorder   *recorder
	random     *rand.Rand
	connection *pgconn.PgConn
	sent       int
	moved      int
	token      string
}

func (s *session) run(ctx context.Context, began time.Time) error {
	defer s.close()
	for ctx.Err() == nil {
		if err := s.connect(ctx); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		due := s.wait(ctx, began)
		if ctx.Err() != nil {
			return nil
		}
		s.send(due)
		s.sent++
		if s.options.SwitchProxyEvery > 0 && s.sent%s.options.SwitchProxyEvery == 0 {
			s.move()
		}
	}
	return nil
}

// wait waits until the next request is due and returns that time.
func (s *session) wait(ctx context.Context, began time.Time) time.Time {
	if s.options.Rate <= 0 {
		return time.Now()
	}
	turn := float64(s.sent*s.options.Sessions + s.number)
	due := began.Add(time.Duration(turn / s.options.Rate * float64(time.Second)))
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
	address := s.options.Addresses[(s.number+s.moved)%len(s.options.Addresses)]
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
	return s.options.Groups[s.number%len(s.options.Groups)]
}

// move leaves the proxy for another one, with the token of the session.
func (s *session) move() {
	s.token = s.connection.ParameterStatus("cherviltrestle.token")
	s.moved++
	s.close()
}

func (s *session) close() {
	if s.connection != nil {
		_ = s.connection.Close(context.Background())
		s.connection = nil
	}
}

func (s *session) send(due time.Time) {
	kind, text, key := KindRead, "SELECT value FROM charts WHERE key = 'm8'", ""
	if s.random.Float64() >= s.options.ReadShare {
		kind, key = KindWrite, fmt.Sprintf("%d-%d-%d", s.options.Seed, s.number, s.sent)
		text = fmt.Sprintf("INSERT INTO load (key, value) VALUES ('%s', 'x')", key)
		if s.options.IdempotencyKeys {
			text = "/* idempotency_key=" + key + " */ " + text
		}
	}
	_, err := s.connection.Exec(context.Background(), text).ReadAll()
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
	var failure *pgconn.PgError
	if errors.As(err, &failure) && strings.Contains(failure.Detail, "outcome=ran") {
		return OutcomeRan
	}
	if errors.As(err, &failure) && !strings.Contains(failure.Detail, "outcome=unknown") {
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// reasonOf returns the reason that an error names, or the error's code.
func reasonOf(err error) string {
	var failure *pgconn.PgError
	if !errors.As(err, &failure) {
		return ""
	}
	for _, field := range strings.Fields(failure.Detail) {
		if reason, ok := strings.CutPrefix(field, "reason="); ok {
			return reason
		}
	}
	return failure.Code
}
