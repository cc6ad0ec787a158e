package ctheldlink

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/cttext"
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
	// changeShare is how many operations there are for each change of the session's state, and
	// refusedShare for each query that can't be passed on.
	changeShare  = 20
	refusedShare = 20
)

// Plain texts, from which others are made.
const (
	plainName  = "s1"
	plainShape = "q5"
	plainItem  = "1a4"
	plainData  = "data"
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
	// reader and writer are the names of the session's prepared statements.
	reader, writer string
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
		c.pause(ctx, delay)
	}
	if c.conn != nil {
		c.conn.Close()
	}
}

// pause waits. An open session must receive nothing meanwhile.
func (c *caller) pause(ctx context.Context, delay time.Duration) {
	until := time.Now().Add(delay)
	if c.conn != nil {
		line, unasked := c.conn.AwaitUnasked(delay)
		c.judge.check(!unasked, RuleMixed, "%s sends %q, which answers nothing", c.session.proxy, line)
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(until)):
	}
}

// attempt opens a session if there is none, runs one operation and reports whether it
// succeeded. Callers of a bounded route only read.
func (c *caller) attempt(ctx context.Context) bool {
	if c.conn == nil && !c.connect(ctx) {
		return false
	}
	switch {
	case c.random.IntN(changeShare) == 0:
		return c.changeState()
	case c.random.IntN(refusedShare) == 0:
		return c.queryRefused()
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
	prepared := c.random.IntN(preparedShare) == 0
	switch {
	case writes && prepared:
		return ctpeer.Execute{Name: c.writer, Arguments: c.drawData()}
	case writes:
		return ctpeer.Write{Arguments: c.drawData()}
	case prepared:
		return ctpeer.Execute{Name: c.reader, Arguments: cttext.Field(c.random, plainItem)}
	}
	return ctpeer.Read{Item: cttext.Field(c.random, plainItem)}
}

// drawData returns the arguments of a write.
func (c *caller) drawData() string {
	return cttext.Word(c.random, plainItem) + " " + cttext.Field(c.random, plainData)
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
	c.reader = cttext.Word(c.random, plainName)
	c.writer = c.reader + "w"
	return c.set() && c.prepare()
}

// changeState changes the session's state and reports whether that succeeded.
func (c *caller) changeState() bool {
	if c.random.IntN(2) == 0 {
		return c.set()
	}
	return c.query(ctpeer.Deallocate{Name: c.reader}, nil, false) &&
		c.query(ctpeer.Deallocate{Name: c.writer}, nil, false) && c.prepare()
}

// set sets a session value. Most names are shared between sessions, and few values.
func (c *caller) set() bool {
	name, value := cttext.Word(c.random, "n"), cttext.Field(c.random, string(newID()))
	return c.query(ctpeer.Set{Name: name, Value: value}, nil, false)
}

// prepare prepares the session's statements. Sessions share names and shapes.
func (c *caller) prepare() bool {
	read := ctpeer.Shape{Text: cttext.Field(c.random, plainShape)}
	write := ctpeer.Shape{Writes: true, Text: cttext.Field(c.random, plainShape)}
	return c.query(ctpeer.Prepare{Name: c.reader, Shape: read}, nil, false) &&
		c.query(ctpeer.Prepare{Name: c.writer, Shape: write}, nil, false)
}

// queryRefused sends a query that can't be passed on: with a line feed, without an ID, or with
// the ID of the system's own statements. It must be answered so, once.
func (c *caller) queryRefused() bool {
	id, text := newID(), "READ "+plainItem
	switch c.random.IntN(4) {
	case 0:
		id = ""
	case 1:
		id = ctpeer.OwnID
	default:
		text = cttext.Unsendable(c.random, text)
	}
	if c.conn.SetReadDeadline(time.Now().Add(answerTimeout)) != nil || c.conn.Send(id, text) != nil {
		return false
	}
	answer, err := c.conn.Receive()
	if err != nil {
		return false
	}
	c.judge.check(answer.Fault == ctquery.FaultMalformed, RuleMalformed, "%s answers %q with ID %q with %+v",
		c.session.proxy, text, id, answer)
	return answer.Transaction == ctquery.TransactionNone
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
	if answer.Fault == ctquery.FaultMalformed && answer.Transaction == ctquery.TransactionNone {
		// Some texts that the protocol can carry may be refused.
		return true
	}
	return answer.OK()
}

func newID() ctquery.ID {
	return ctquery.ID(fmt.Sprintf("%016x", rand.Uint64()))
}
