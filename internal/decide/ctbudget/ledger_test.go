package ctbudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1_000_000, 0)

// after returns a time that is some seconds after the start.
func after(seconds int) time.Time { return testStart.Add(time.Duration(seconds) * time.Second) }

// newTestLedger returns a ledger for 100 bytes, 60 for each of at most 4 clients, with clients 1, 2 and
// 3, which have held a message of 30 bytes since the start.
func newTestLedger(t *testing.T) *Ledger {
	t.Helper()
	l := NewLedger(Limits{Total: 100, PerClient: 60, Clients: 4})
	for client := Client(1); client <= 3; client++ {
		assertGranted(t, l.Open(testStart, client))
		assertGranted(t, l.Charge(testStart, client, UseMessage, 30))
	}
	return l
}

// assertGranted checks that a request was granted, and which clients must be closed for it.
func assertGranted(t *testing.T, verdict Verdict, evicted ...Client) {
	t.Helper()
	granted, ok := verdict.(Granted)
	assert.Assert(t, ok, "%+v", verdict)
	assert.DeepEqual(t, granted.Evicted, evicted)
}

// assertDenied checks that a request was denied for a reason.
func assertDenied(t *testing.T, verdict Verdict, reason Reason) {
	t.Helper()
	assert.Equal(t, verdict, Verdict(Denied{Reason: reason}))
}

// TestCharge guards against charges over the limits, and against the closing of clients that make
// progress or run a statement.
func TestCharge(t *testing.T) {
	t.Run("within the limits", func(t *testing.T) {
		assertGranted(t, newTestLedger(t).Charge(testStart, 1, UseState, 10))
	})
	t.Run("over the limit of one client", func(t *testing.T) {
		assertDenied(t, newTestLedger(t).Charge(after(9), 1, UseState, 31), ReasonClientLimit)
	})
	t.Run("no client has stalled", func(t *testing.T) {
		assertDenied(t, newTestLedger(t).Charge(after(1), 1, UseState, 11), ReasonMemory)
	})
	t.Run("the client that has stalled longest is closed", func(t *testing.T) {
		l := newTestLedger(t)
		l.Progress(after(3), 2)
		assertGranted(t, l.Charge(after(9), 1, UseState, 11), 3)
		assertDenied(t, l.Charge(after(9), 3, UseState, 1), ReasonClosed)
	})
	t.Run("the client that holds most is closed", func(t *testing.T) {
		l := newTestLedger(t)
		assertGranted(t, l.Charge(after(1), 2, UseAnswer, 5))
		assertGranted(t, l.Charge(after(9), 1, UseState, 11), 2)
	})
	t.Run("a client with a statement running is not closed", func(t *testing.T) {
		l := newTestLedger(t)
		l.SetRunning(testStart, 2, true)
		l.SetRunning(testStart, 3, true)
		assertDenied(t, l.Charge(after(9), 1, UseState, 11), ReasonMemory)
	})
	t.Run("one client may exceed the total beside others that hold little", func(t *testing.T) {
		l := NewLedger(Limits{Total: 100, PerClient: 200})
		for client := Client(1); client <= 3; client++ {
			assertGranted(t, l.Open(testStart, client))
		}
		assertGranted(t, l.Charge(testStart, 1, UseMessage, 25))
		assertGranted(t, l.Charge(testStart, 2, UseMessage, 200))
		assertDenied(t, l.Charge(testStart, 3, UseMessage, 1), ReasonMemory)
		assertDenied(t, l.Charge(testStart, 1, UseMessage, 26), ReasonMemory)
	})
	t.Run("a smaller charge makes room", func(t *testing.T) {
		l := newTestLedger(t)
		assertGranted(t, l.Charge(after(1), 2, UseMessage, 0))
		assertGranted(t, l.Charge(after(1), 1, UseState, 30))
		assert.Equal(t, l.Charged(), Bytes(90))
	})
}

// TestOpen guards against more clients than the limit, and against an idle session that is closed while
// a client without a session could be.
func TestOpen(t *testing.T) {
	t.Run("no client has stalled", func(t *testing.T) {
		l := newTestLedger(t)
		assertGranted(t, l.Open(testStart, 4))
		assertDenied(t, l.Open(after(1), 5), ReasonClients)
	})
	t.Run("a client without its first message is replaced", func(t *testing.T) {
		l := newTestLedger(t)
		for client := Client(1); client <= 3; client++ {
			l.Progress(testStart, client)
		}
		assertGranted(t, l.Open(after(2), 4))
		assertGranted(t, l.Open(after(9), 5), 4)
	})
	t.Run("the client that has idled longest is replaced", func(t *testing.T) {
		l := newTestLedger(t)
		assertGranted(t, l.Open(testStart, 4))
		for client := Client(1); client <= 4; client++ {
			l.Progress(after(int(5-client)), client)
		}
		assertGranted(t, l.Open(after(9), 5), 4)
	})
}

// TestLimitsOf guards against limits that a documented client reaches: a line of 1 MiB, some tens of
// sessions on the smallest VM, and no limit in the settings.
func TestLimitsOf(t *testing.T) {
	share := Share{MemoryDivisor: 4, DescriptorDivisor: 3, Largest: 4 << 20}
	assert.Equal(t, LimitsOf(Resources{}, share), Limits{})
	smallest := LimitsOf(Resources{MemoryMB: 136, Descriptors: 3010}, share)
	assert.Equal(t, smallest, Limits{Total: 34_000_000, PerClient: 8_500_000, Clients: 1003})
	assert.Equal(t, LimitsOf(Resources{MemoryMB: 40}, share).PerClient, Bytes(4<<20))
	assert.Equal(t, LimitsOf(Resources{MemoryMB: 8}, share), Limits{Total: 2_000_000, PerClient: 4 << 20, Clients: 61})
	assert.Equal(t, LargeAnswers(Resources{}), 0)
	assert.Equal(t, LargeAnswers(Resources{MemoryMB: 136}), 4)
	assert.Equal(t, LargeAnswers(Resources{MemoryMB: 8}), 1)
}

// TestLedgerProperty checks for any order of calls that no limit is exceeded, that the sum of the charges is
// right, and that no running client is closed.
func TestLedgerProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Total: 100, PerClient: Bytes(rapid.SampledFrom([]int{60, 150}).Draw(t, "limit")), Clients: 4}
		l := NewLedger(limits)
		now := testStart
		running := make(map[Client]bool)
		for next := Client(1); next < 60; next++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			client := Client(rapid.IntRange(1, int(next)).Draw(t, "client"))
			var verdict Verdict = Granted{}
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0:
				verdict = l.Open(now, next)
			case 1:
				verdict = l.Charge(now, client, Use(rapid.IntRange(0, 2).Draw(t, "use")),
					Bytes(rapid.IntRange(0, 160).Draw(t, "bytes")))
			case 2:
				running[client] = l.clients[client] != nil
				l.SetRunning(now, client, true)
			case 3:
				running[client] = false
				l.SetRunning(now, client, false)
			default:
				running[client] = false
				l.Close(client)
			}
			if granted, ok := verdict.(Granted); ok {
				for _, e := range granted.Evicted {
					assert.Assert(t, !running[e])
				}
			}
			assertConsistent(t, l, limits)
		}
	})
}

// assertConsistent checks that a ledger is within its limits.
func assertConsistent(t *rapid.T, l *Ledger, limits Limits) {
	t.Helper()
	var sum Bytes
	for _, a := range l.clients {
		assert.Assert(t, a.held() <= limits.PerClient)
		sum += a.held()
	}
	assert.Equal(t, sum, l.Charged())
	assert.Assert(t, sum <= max(limits.Total, limits.PerClient+limits.Total/othersDivisor))
	assert.Assert(t, l.Clients() <= limits.Clients)
}
