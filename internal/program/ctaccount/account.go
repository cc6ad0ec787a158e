package ctaccount

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctbudget"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/cttable"
)

// Options are the dependencies and settings of Accounts.
type Options struct {
	// Listener names what the clients connect to, in logs and metrics.
	Listener string
	Limits   ctbudget.Limits
	Clock    ctclock.Clock
	Logger   zerolog.Logger
	Metrics  *ctmetric.Clients
}

// Accounts has the accounts of the clients of one listener.
type Accounts struct {
	Options
	state cttable.Cell[state]
	// connected and heldBytes are the listener's metrics.
	connected, heldBytes prometheus.Gauge
}

// state is what the lock guards.
type state struct {
	ledger *ctbudget.Ledger
	// lastClient is the client that was opened last.
	lastClient ctbudget.Client
	// closers has the function that closes each client.
	closers map[ctbudget.Client]func()
}

// New returns accounts without clients.
func New(options Options) *Accounts {
	a := &Accounts{
		Options: options, state: cttable.Cell[state]{Rank: ctlock.RankAccounts},
		connected: options.Metrics.Connected.WithLabelValues(options.Listener),
		heldBytes: options.Metrics.HeldBytes.WithLabelValues(options.Listener),
	}
	var held ctlock.Held
	a.state.With(&held, func(s *state) {
		s.ledger = ctbudget.NewLedger(options.Limits)
		s.closers = make(map[ctbudget.Client]func())
	})
	return a
}

// Account is the account of one client.
type Account struct {
	accounts *Accounts
	client   ctbudget.Client
}

// Open returns the account of a new client, and false if there are too many. closeClient closes the
// client from another goroutine, without waiting. Without Accounts there is no limit.
func (a *Accounts) Open(closeClient func()) (*Account, bool) {
	if a == nil {
		return nil, true
	}
	account := &Account{accounts: a}
	ok := a.decide(func(s *state) ctbudget.Verdict {
		s.lastClient++
		account.client = s.lastClient
		verdict := s.ledger.Open(a.Clock.Now(), account.client)
		if _, granted := verdict.(ctbudget.Granted); granted {
			s.closers[account.client] = closeClient
		}
		return verdict
	})
	if !ok {
		return nil, false
	}
	return account, true
}

// Charge sets what the client holds for a use. It reports whether the client may hold that, and
// changes nothing if not. Other clients may be closed for it.
func (c *Account) Charge(use ctbudget.Use, amount ctbudget.Bytes) bool {
	if c == nil {
		return true
	}
	return c.accounts.decide(func(s *state) ctbudget.Verdict {
		return s.ledger.Charge(c.accounts.Clock.Now(), c.client, use, amount)
	})
}

// Progress records that the client has completed a message or read an answer.
func (c *Account) Progress() {
	c.update(func(s *state) { s.ledger.Progress(c.accounts.Clock.Now(), c.client) })
}

// SetRunning records whether a statement of the client runs. Such a client is not evicted.
func (c *Account) SetRunning(running bool) {
	c.update(func(s *state) { s.ledger.SetRunning(c.accounts.Clock.Now(), c.client, running) })
}

// Close removes the account. It may be called more than once.
func (c *Account) Close() {
	c.update(func(s *state) {
		s.ledger.Close(c.client)
		delete(s.closers, c.client)
		c.accounts.measure(s)
	})
}

// update runs change while it holds the lock.
func (c *Account) update(change func(s *state)) {
	if c == nil {
		return
	}
	var held ctlock.Held
	c.accounts.state.With(&held, change)
}

// decide obtains a verdict while it holds the lock, and then closes the clients that it evicts. It
// reports whether the verdict grants the request.
func (a *Accounts) decide(request func(s *state) ctbudget.Verdict) bool {
	var held ctlock.Held
	var verdict ctbudget.Verdict
	var closers []func()
	a.state.With(&held, func(s *state) {
		verdict = request(s)
		if granted, ok := verdict.(ctbudget.Granted); ok {
			for _, client := range granted.Evicted {
				closers = append(closers, s.closers[client])
				delete(s.closers, client)
			}
		}
		a.measure(s)
	})
	switch v := verdict.(type) {
	case ctbudget.Granted:
		for _, closeClient := range closers {
			closeClient()
		}
		a.recordEvictions(v)
		return true
	case ctbudget.Denied:
		if v.Reason == ctbudget.ReasonClosed {
			// The eviction was recorded when it happened.
			return false
		}
		a.Metrics.Denied.WithLabelValues(a.Listener, string(v.Reason)).Inc()
		a.log("refuse_client", v.Reason).Send()
	}
	return false
}

// recordEvictions logs and counts the clients that were evicted.
func (a *Accounts) recordEvictions(granted ctbudget.Granted) {
	if len(granted.Evicted) == 0 {
		return
	}
	a.Metrics.Evicted.WithLabelValues(a.Listener, string(granted.Reason)).Add(float64(len(granted.Evicted)))
	a.log("evict_clients", granted.Reason).Int("clients", len(granted.Evicted)).Send()
}

func (a *Accounts) log(decision string, reason ctbudget.Reason) *zerolog.Event {
	return ctlog.Decision(&a.Logger, decision).Str("listener", a.Listener).Str("why", string(reason))
}

// measure updates the metrics of the clients. The caller holds the lock.
func (a *Accounts) measure(s *state) {
	a.connected.Set(float64(s.ledger.Clients()))
	a.heldBytes.Set(float64(s.ledger.Charged()))
}
