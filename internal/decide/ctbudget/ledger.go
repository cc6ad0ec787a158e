package ctbudget

import (
	"cmp"
	"slices"
	"time"
)

// MinStall is how long a client must have made no progress before it may be closed for another one.
// Shorter times would close clients whose messages are about to be complete.
const MinStall = 2 * time.Second

// Client identifies a client of a process.
type Client uint64

// Use is what a client's memory is used for.
type Use uint8

// The uses. Each has a charge of its own.
const (
	// UseMessage is a message that arrives or is handled.
	UseMessage Use = iota
	// UseState is what outlives a message: session values and prepared statements.
	UseState
	// UseAnswer is an answer that the client has yet to read.
	UseAnswer
	useCount
)

// Reason says why something was denied. It is the value of a log key and a metric label.
type Reason string

// The reasons.
const (
	// ReasonClientLimit means that the client would hold more than one client may.
	ReasonClientLimit Reason = "client_limit"
	// ReasonMemory means that all clients would hold too much.
	ReasonMemory Reason = "memory"
	// ReasonClients means that there are too many clients.
	ReasonClients Reason = "clients"
	// ReasonClosed means that the client has been closed.
	ReasonClosed Reason = "closed"
)

// Verdict is the decision on a charge or a new client: one of Granted and Denied.
type Verdict interface {
	isVerdict()
}

// Granted is a verdict that grants the request.
type Granted struct {
	// Evicted are the clients that must be closed, and Reason says why. The ledger has removed them.
	Evicted []Client
	Reason  Reason
}

// Denied is a verdict that changes nothing.
type Denied struct {
	Reason Reason
}

func (Granted) isVerdict() {}
func (Denied) isVerdict()  {}

// account is what the ledger knows of a client.
type account struct {
	charges [useCount]Bytes
	// progressAt is when the client was added, last completed a message or read an answer, or a
	// statement of it last started or ended.
	progressAt time.Time
	// started reports whether the first message is complete, and running whether a statement runs.
	started, running bool
}

// held returns the sum of the charges.
func (a *account) held() Bytes {
	var sum Bytes
	for _, c := range a.charges {
		sum += c
	}
	return sum
}

// Ledger has the charges of all clients. It is not safe for concurrent use.
type Ledger struct {
	limits  Limits
	charged Bytes
	clients map[Client]*account
}

// NewLedger returns a ledger without clients.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{limits: limits, clients: make(map[Client]*account)}
}

// Charged returns the sum of all charges.
func (l *Ledger) Charged() Bytes { return l.charged }

// Clients returns the number of clients.
func (l *Ledger) Clients() int { return len(l.clients) }

// Open adds a client without charges. It must not be in the ledger.
func (l *Ledger) Open(now time.Time, client Client) Verdict {
	var granted Granted
	if l.limits.Clients > 0 && len(l.clients) >= l.limits.Clients {
		replaced, ok := l.replaceable(now)
		if !ok {
			return Denied{Reason: ReasonClients}
		}
		l.Close(replaced)
		granted = Granted{Evicted: []Client{replaced}, Reason: ReasonClients}
	}
	l.clients[client] = &account{progressAt: now}
	return granted
}

// replaceable returns the client that a new one may replace, and false if there is none.
func (l *Ledger) replaceable(now time.Time) (Client, bool) {
	var found Client
	var best *account
	for client, a := range l.clients {
		if !a.stalled(now) {
			continue
		}
		if best == nil || compareReplaceable(a, best) < 0 ||
			(compareReplaceable(a, best) == 0 && client < found) {
			found, best = client, a
		}
	}
	return found, best != nil
}

// compareReplaceable orders clients by which is replaced first.
func compareReplaceable(a, b *account) int {
	if a.started != b.started {
		if b.started {
			return -1
		}
		return 1
	}
	return a.progressAt.Compare(b.progressAt)
}

// stalled reports whether the client may be closed for another one.
func (a *account) stalled(now time.Time) bool {
	return !a.running && now.Sub(a.progressAt) >= MinStall
}

// Close removes a client. It does nothing for one that was evicted.
func (l *Ledger) Close(client Client) {
	if a, ok := l.clients[client]; ok {
		l.charged -= a.held()
		delete(l.clients, client)
	}
}

// Charge sets what a client holds for a use. An amount that is not higher than before is granted
// unless the client has been closed.
func (l *Ledger) Charge(now time.Time, client Client, use Use, amount Bytes) Verdict {
	a, ok := l.clients[client]
	if !ok {
		return Denied{Reason: ReasonClosed}
	}
	more := amount - a.charges[use]
	var granted Granted
	if more > 0 {
		if l.limits.PerClient > 0 && a.held()+more > l.limits.PerClient {
			return Denied{Reason: ReasonClientLimit}
		}
		if granted.Evicted, ok = l.evictFor(now, client, more); !ok {
			return Denied{Reason: ReasonMemory}
		}
		if len(granted.Evicted) > 0 {
			granted.Reason = ReasonMemory
		}
	}
	a.charges[use] = amount
	l.charged += more
	return granted
}

// candidate is a client that may be closed for a charge of another one.
type candidate struct {
	client Client
	held   Bytes
	score  float64
}

// evictFor removes the clients that must be closed before a client is charged more. It returns false,
// and removes none, if that would not suffice.
func (l *Ledger) evictFor(now time.Time, client Client, more Bytes) ([]Client, bool) {
	if l.limits.Total == 0 {
		return nil, true
	}
	held := l.clients[client].held()
	others := l.charged - held
	allowed := max(l.limits.Total-held-more, l.limits.Total/othersDivisor)
	if others <= allowed {
		return nil, true
	}
	var candidates []candidate
	for c, a := range l.clients {
		if held := a.held(); c != client && held > 0 && a.stalled(now) {
			score := float64(held) * now.Sub(a.progressAt).Seconds()
			candidates = append(candidates, candidate{client: c, held: held, score: score})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.client, b.client))
	})
	for i, c := range candidates {
		if others -= c.held; others <= allowed {
			var evicted []Client
			for _, e := range candidates[:i+1] {
				evicted = append(evicted, e.client)
				l.Close(e.client)
			}
			return evicted, true
		}
	}
	return nil, false
}

// Progress records that a client has completed a message or read an answer.
func (l *Ledger) Progress(now time.Time, client Client) {
	if a, ok := l.clients[client]; ok {
		a.progressAt, a.started = now, true
	}
}

// SetRunning records whether a statement of a client runs. Either is progress.
func (l *Ledger) SetRunning(now time.Time, client Client, running bool) {
	if a, ok := l.clients[client]; ok {
		a.progressAt, a.running = now, running
	}
}
