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
	"github.com/cherviltrestle/cherviltrestle/platform"
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
)

// caller reads and writes through one proxy until its context ends.
type caller struct {
	// session describes the open session. Each one has a copy of its own.
	session  callerSession
	database ctid.Database
	address  netip.AddrPort
	judge    *Judge
	// conn and open are the connection and its session; nil while there is none.
	conn *platform.CallerConn
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
	reads := c.session.freshness == ctconfig.FreshnessBounded || rand.IntN(readShare) == 0
	read, write := ctquery.Read{Item: "1a4"}, ctquery.Write{Arguments: "1a4 data"}
	single := rand.IntN(transactionShare) > 0
	switch {
	case reads && single:
		return c.query(read, nil, false)
	case reads:
		return c.transact(ctquery.Begin{ReadOnly: true}, read)
	case single:
		return c.query(write, nil, true)
	}
	return c.transact(ctquery.Begin{}, read, write)
}

// connect opens a session and reports whether the proxy accepted it.
func (c *caller) connect(ctx context.Context) bool {
	dialCtx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	conn, _, err := platform.DialProxy(dialCtx, c.address, c.database)
	if err != nil || conn == nil {
		return false
	}
	open := c.session
	c.conn, c.open = conn, &open
	return true
}

// transact runs statements in a transaction and reports whether all succeeded.
func (c *caller) transact(begin ctquery.Begin, statements ...ctquery.Statement) bool {
	t := &transaction{}
	if !c.query(begin, t, false) {
		return false
	}
	for _, s := range statements {
		if !c.query(s, t, false) {
			return false
		}
	}
	return c.query(ctquery.Commit{}, t, !begin.ReadOnly)
}

// query sends a statement, records its answer and reports whether it succeeded. commits says
// whether a success acknowledges a commit.
func (c *caller) query(statement ctquery.Statement, t *transaction, commits bool) bool {
	id := newID()
	c.judge.recordAsked(id, asked{statement: statement, session: c.open, transaction: t})
	if err := c.conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return false
	}
	if err := c.conn.Send(ctquery.Query{ID: id, Statement: statement}); err != nil {
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
