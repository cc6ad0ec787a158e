package ctaccount_test

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctbudget"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctaccount"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// fixture is the accounts of a listener with their clock and metrics.
type fixture struct {
	accounts *ctaccount.Accounts
	clock    *ctclock.Manual
	metrics  *ctmetric.Clients
}

func newFixture(limits ctbudget.Limits) *fixture {
	f := &fixture{clock: &ctclock.Manual{}, metrics: &ctmetric.New(prometheus.NewRegistry()).Clients}
	f.accounts = ctaccount.New(ctaccount.Options{
		Listener: "test", Limits: limits, Clock: f.clock, Logger: zerolog.Nop(), Metrics: f.metrics,
	})
	return f
}

// open opens an account and returns it with whether its client was closed.
func (f *fixture) open(t *testing.T) (*ctaccount.Account, *bool) {
	t.Helper()
	closed := new(bool)
	account, ok := f.accounts.Open(func() { *closed = true })
	assert.Assert(t, ok)
	return account, closed
}

// assertMetrics checks the number of clients, their charges, and how many were closed for others.
func (f *fixture) assertMetrics(t *testing.T, clients, held, evicted int) {
	t.Helper()
	assert.Equal(t, testutil.ToFloat64(f.metrics.Connected), float64(clients))
	assert.Equal(t, testutil.ToFloat64(f.metrics.HeldBytes), float64(held))
	assert.Equal(t, testutil.ToFloat64(f.metrics.Evicted.WithLabelValues("test", "memory")), float64(evicted))
}

// TestAccounts guards against clients that the ledger evicts and nobody closes, and against accounts that
// stay charged after their end.
func TestAccounts(t *testing.T) {
	t.Run("a client that is evicted is closed", func(t *testing.T) {
		f := newFixture(ctbudget.Limits{Total: 100, PerClient: 100})
		first, firstClosed := f.open(t)
		second, secondClosed := f.open(t)
		assert.Assert(t, first.Charge(ctbudget.UseMessage, 100))
		assert.Assert(t, !second.Charge(ctbudget.UseMessage, 50))
		f.clock.Advance(ctbudget.MinStall)
		assert.Assert(t, second.Charge(ctbudget.UseMessage, 50))
		assert.Assert(t, *firstClosed && !*secondClosed)
		f.assertMetrics(t, 1, 50, 1)
		assert.Assert(t, !first.Charge(ctbudget.UseMessage, 1))
		first.Close()
		second.Close()
		f.assertMetrics(t, 0, 0, 1)
	})
	t.Run("a client with a statement running is not closed", func(t *testing.T) {
		f := newFixture(ctbudget.Limits{Clients: 1})
		account, closed := f.open(t)
		account.SetRunning(true)
		f.clock.Advance(ctbudget.MinStall)
		_, ok := f.accounts.Open(func() {})
		assert.Assert(t, !ok && !*closed)
		account.SetRunning(false)
		f.clock.Advance(ctbudget.MinStall)
		f.open(t)
		assert.Assert(t, *closed)
	})
	t.Run("without accounts nothing is limited", func(t *testing.T) {
		var none *ctaccount.Accounts
		account, ok := none.Open(nil)
		assert.Assert(t, ok && account.Charge(ctbudget.UseState, 1<<40))
		account.Progress()
		account.Close()
	})
}

// TestSlots guards against more slots than there are, and against a wait that does not end.
func TestSlots(t *testing.T) {
	slots := ctaccount.NewSlots(1)
	assert.Assert(t, slots.Acquire(nil))
	done := make(chan struct{})
	close(done)
	assert.Assert(t, !slots.Acquire(done))
	slots.Release()
	assert.Assert(t, slots.Acquire(nil))
	assert.Assert(t, ctaccount.NewSlots(0).Acquire(nil))
}

// TestUsage guards against a charge for small amounts, and against one that stays after a refusal.
func TestUsage(t *testing.T) {
	f := newFixture(ctbudget.Limits{Total: 100, PerClient: 100})
	account, _ := f.open(t)
	usage := ctaccount.Usage{Account: account, Use: ctbudget.UseState, Uncounted: 10}
	assert.Assert(t, usage.Set(10))
	f.assertMetrics(t, 1, 0, 0)
	assert.Assert(t, usage.Set(60))
	assert.Assert(t, !usage.Set(101))
	f.assertMetrics(t, 1, 60, 0)
	assert.Assert(t, usage.Set(5))
	f.assertMetrics(t, 1, 0, 0)
}
