package ctheldlink

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/platform/ctpeer"
)

const (
	// callInterval is the pause between two operations of a caller.
	callInterval = 20 * time.Millisecond
	// callRetryDelay is the pause after an operation that has failed.
	callRetryDelay = 50 * time.Millisecond
	// answerTimeout is how long a caller waits for an answer.
	answerTimeout = 3 * time.Second
	// transactionShare is how many operations there are for each one in a transaction, and
	// readShare for each one that only reads.
	transactionShare = 4
	readShare        = 3
	// preparedShare is how many statements there are for each one that is prepared.
	preparedShare = 3
)

// Names of what each session sets and prepares. All sessions use the same ones.
const (
	valueName     = "value"
	preparedRead  = "s1"
	preparedWrite = "s2"
)

// caller reads and writes through one proxy until its context ends.
type caller struct {
	// session describes the open session. Each one has a copy of its own.
	session  callerSession
	database ctid.Database
	address  netip.AddrPort
	judge    *Judge
	random   *rand.Rand
	// conn and open are the connection and its session; nil while there is none.
	conn *ctpeer.Caller
	open *callerSession
}

// run calls until ctx ends, in one session as long as that is possible.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		delay := callInterval
		if !c.attempt(ctx) {
			delay = callRetryDelay
			if c.conn != nil {
				c.conn.Close()
				c.conn = nil
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
	}
	if c.conn != nil {
		c.conn.Close()
	}
}

// attempt opens a session if there is none, runs one operation and reports whether it
// succeeded. Callers of a bounded route only read.
func (c *caller) attempt(ctx context.Context) bool {
	if c.conn == nil && !c.connect(ctx) {
		return false
	}
	reads := c.session.freshness == ctconfig.FreshnessBounded || c.random.IntN(readShare) == 0
	single := c.random.IntN(transactionShare) > 0
	switch {
	case single:
		return c.query(c.draw(!reads), nil, !reads)
	case reads:
		return c.transact(ctpeer.Begin{ReadOnly: true}, c.draw(false))
	}
	return c.transact(ctpeer.Begin{}, c.draw(false), c.draw(true))
}

// draw returns a read or a write. Some are prepared.
func (c *caller) draw(writes bool) ctpeer.Statement {
	const item, data = "1a4", " data"
	prepared := c.random.IntN(preparedShare) == 0
	switch {
	case writes && prepared:
		return ctpeer.Execute{Name: preparedWrite, Arguments: item + data}
	case writes:
		return ctpeer.Write{Arguments: item + data}
	case prepared:
		return ctpeer.Execute{Name: preparedRead, Arguments: item}
	}
	return ctpeer.Read{Item: item}
}

// connect opens a session, sets and prepares what it needs, and reports whether the proxy
// accepted all that.
func (c *caller) connect(ctx context.Context) bool {
	dialCtx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	conn, _, err := ctpeer.Dial(dialCtx, c.address, c.database)
	if err != nil || conn == nil {
		return false
	}
	open := c.session
	open.values, open.prepared = make(map[string]string), make(map[string]ctpeer.Shape)
	c.conn, c.open = conn, &open
	own := string(newID())
	for _, s := range []ctpeer.Statement{
		ctpeer.Set{Name: valueName, Value: own},
		ctpeer.Prepare{Name: preparedRead, Shape: ctpeer.Shape{Text: own}},
		ctpeer.Prepare{Name: preparedWrite, Shape: ctpeer.Shape{Writes: true, Text: own}},
	} {
		if !c.query(s, nil, false) {
			return false
		}
	}
	return true
}

// transact runs statements in a transaction and reports whether all succeeded.
func (c *caller) transact(begin ctpeer.Begin, statements ...ctpeer.Statement) bool {
	t := &transaction{}
	if !c.query(begin, t, false) {
		return false
	}
	for _, s := range statements {
		if !c.query(s, t, false) {
			return false
		}
	}
	return c.query(ctpeer.Commit{}, t, !begin.ReadOnly)
}

// query sends a statement, records its answer and reports whether it succeeded. commits says
// whether a success acknowledges a commit.
func (c *caller) query(statement ctpeer.Statement, t *transaction, commits bool) bool {
	id := newID()
	c.judge.recordAsked(id, asked{statement: statement, session: c.open, transaction: t})
	if err := c.conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return false
	}
	if err := c.conn.Send(id, ctpeer.FormatStatement(statement)); err != nil {
		return false
	}
	answer, err := c.conn.Receive()
	if err != nil {
		return false
	}
	c.judge.recordAnswer(id, answer, commits)
	return answer.OK()
}

func newID() ctquery.ID {
	return ctquery.ID(fmt.Sprintf("%016x", rand.Uint64()))
}
