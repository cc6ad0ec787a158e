package ctheldlink

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/platform"
)

const (
	// database is the database that callers write to.
	database ctid.Database = "database-0"
	// callInterval is the pause between two writes of a caller.
	callInterval = 20 * time.Millisecond
	// callRetryDelay is the pause after a write that was not acknowledged.
	callRetryDelay = 50 * time.Millisecond
	// answerTimeout is how long a caller waits for an answer.
	answerTimeout = 3 * time.Second
	// transactionShare is how many writes there are for each one in a transaction.
	transactionShare = 4
)

// caller writes through one proxy until its context ends.
type caller struct {
	proxy   Host
	address netip.AddrPort
	judge   *Judge
	conn    *platform.CallerConn
}

// run writes until ctx ends, in one session as long as that is possible.
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

// attempt opens a session if there is none, writes once and reports whether the write was
// acknowledged.
func (c *caller) attempt(ctx context.Context) bool {
	if c.conn == nil {
		dialCtx, cancel := context.WithTimeout(ctx, answerTimeout)
		defer cancel()
		conn, _, err := platform.DialProxy(dialCtx, c.address, database)
		if err != nil || conn == nil {
			return false
		}
		c.conn = conn
	}
	write := ctquery.Write{Arguments: "1a4 data"}
	if rand.IntN(transactionShare) > 0 {
		return c.commit(write)
	}
	if answer, err := c.query(newID(), ctquery.Begin{}); err != nil || !answer.OK() {
		return false
	}
	if answer, err := c.query(newID(), write); err != nil || !answer.OK() {
		return false
	}
	return c.commit(ctquery.Commit{})
}

// commit sends a statement that commits, and records its answer.
func (c *caller) commit(statement ctquery.Statement) bool {
	id := newID()
	answer, err := c.query(id, statement)
	if err != nil {
		return false
	}
	c.judge.recordAnswer(id, c.proxy, answer.Fault)
	return answer.OK()
}

// query sends a query and waits for its answer.
func (c *caller) query(id ctquery.ID, statement ctquery.Statement) (ctquery.Answer, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return ctquery.Answer{}, err
	}
	if err := c.conn.Send(ctquery.Query{ID: id, Statement: statement}); err != nil {
		return ctquery.Answer{}, err
	}
	return c.conn.Receive()
}

func newID() ctquery.ID {
	return ctquery.ID(fmt.Sprintf("%016x", rand.Uint64()))
}
