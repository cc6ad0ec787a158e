package ctpools

import (
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctlog"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// rollbackTime bounds the rollback of what a way left open.
const rollbackTime = time.Second

// ways holds the ways over which other proxies have queries carried.
type ways struct {
	mutex   sync.Mutex
	open    map[ctframe.Stream]struct{}
	parting bool
}

func (w *ways) add(way ctframe.Stream) (parting bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.open == nil {
		w.open = make(map[ctframe.Stream]struct{})
	}
	w.open[way] = struct{}{}
	return w.parting
}

func (w *ways) remove(way ctframe.Stream) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.open, way)
}

// part tells the other proxies to send nothing more.
func (w *ways) part() {
	w.mutex.Lock()
	w.parting = true
	open := make([]ctframe.Stream, 0, len(w.open))
	for way := range w.open {
		open = append(open, way)
	}
	w.mutex.Unlock()
	for _, way := range open {
		_ = way.Write(&ctframe.ForwardReply{Stopping: true})
	}
}

// NotifyStopping tells the proxies for which this one carries queries that it is to stop.
// What they have sent already is still carried.
func (p *Pools) NotifyStopping() {
	p.ways.part()
}

// ForwardedConnections returns how many connections are lent out for other proxies.
func (p *Pools) ForwardedConnections() int {
	return int(p.carrying.Load())
}

// ServeForwarded runs the queries that another proxy sends over a way, beginning with the
// first one, on this proxy's own connections.
func (p *Pools) ServeForwarded(way ctframe.Stream, first *ctframe.Forward) {
	if p.ways.add(way) {
		_ = way.Write(&ctframe.ForwardReply{Stopping: true})
	}
	defer p.ways.remove(way)
	c := &carrier{pools: p}
	defer c.end()
	for frame := first; ; {
		if way.Write(c.carry(frame)) != nil {
			return
		}
		next, err := way.Read()
		if err != nil {
			return
		}
		var ok bool
		if frame, ok = next.(*ctframe.Forward); !ok {
			return
		}
	}
}

// carrier carries the queries of one way.
type carrier struct {
	pools *Pools
	held  ctlock.Held
	// conn is the connection of an open transaction, or nil.
	conn *Conn
}

// carry runs one query.
func (c *carrier) carry(frame *ctframe.Forward) *ctframe.ForwardReply {
	now := c.pools.Clock.Now()
	state := stateOf(frame)
	if c.conn == nil && !c.acquire(frame, state, now) {
		c.log(frame, "refused", now)
		return &ctframe.ForwardReply{Refused: true}
	}
	sent := c.pools.Clock.Now()
	limits := Limits{Deadline: now.Add(frame.AnswerTimeout)}
	answer, err := c.conn.Run(state, frame.Query.Query(), limits)
	if err != nil {
		c.release(Result{Discard: true})
		c.log(frame, "lost", now)
		return &ctframe.ForwardReply{Unanswered: true, TimedOut: cterror.KindOf(err) == cterror.Expired}
	}
	use := Result{Answered: true, Applied: answer.Point, Discard: answer.Fault == ctquery.FaultNoStatement}
	if answer.OK() {
		use.Latency = c.pools.Clock.Now().Sub(sent)
	}
	if answer.Transaction == ctquery.TransactionNone {
		c.release(use)
	} else {
		c.pools.RecordResult(&c.held, c.conn.Member, use)
	}
	c.log(frame, answer.Fault.String(), now)
	return &ctframe.ForwardReply{Answer: &answer}
}

// log writes the line of a query that was carried for another proxy.
func (c *carrier) log(frame *ctframe.Forward, outcome string, began time.Time) {
	ctlog.Decision(&c.pools.Logger, "carry").
		Str("request", string(frame.Query.ID)).
		Str("member", string(frame.Member)).
		Str("outcome", outcome).
		Dur("took", c.pools.Clock.Now().Sub(began)).
		Send()
}

// stateOf returns the session's state that a frame carries, or nil where the
// statement concerns none.
func stateOf(frame *ctframe.Forward) *ctdialog.State {
	switch frame.Query.Statement().(type) {
	case ctquery.Rollback, ctquery.ReadStatus:
		return nil
	}
	return ctdialog.NewState(frame.Parameters, frame.Shape)
}

// acquire borrows one of this proxy's own connections.
func (c *carrier) acquire(frame *ctframe.Forward, state *ctdialog.State, now time.Time) bool {
	if !c.pools.OwnsConnections(&c.held, frame.Member) {
		return false
	}
	wish := AcquireOptions{
		State: state, Priority: frame.Priority, Deadline: now.Add(min(frame.AcquireTimeout, frame.AnswerTimeout)),
	}
	conn, err := c.pools.Acquire(&c.held, frame.Member, wish)
	if err != nil {
		return false
	}
	c.conn = conn
	c.pools.carrying.Add(1)
	return true
}

func (c *carrier) release(use Result) {
	c.pools.Release(&c.held, c.conn, use)
	c.pools.carrying.Add(-1)
	c.conn = nil
}

// end rolls back what the way left open.
func (c *carrier) end() {
	if c.conn == nil {
		return
	}
	use := Result{Discard: true}
	if c.conn.Alive() {
		rollback := ctquery.Query{Statement: ctquery.Rollback{}}
		limits := Limits{Deadline: c.pools.Clock.Now().Add(rollbackTime)}
		answer, err := c.conn.Run(nil, rollback, limits)
		use.Discard = err != nil || answer.Transaction != ctquery.TransactionNone
	}
	c.release(use)
}
