package ctgateway

import (
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctset"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
)

// The times of one statement.
const (
	// offerPart is within which part of the target latency a statement must be
	// given to a member; otherwise it is refused, so that the caller can turn
	// elsewhere in time.
	offerPart = 5
	// pauseTime is the pause before members are looked at again, where none may
	// run the statement.
	pauseTime = 15 * time.Millisecond
	// patiencePart is within which part of its time a read must be answered
	// before it is asked of another member.
	patiencePart = 3
	// busyTime, behindTime and wrongTime are how long a member is tried last that
	// was busy, behind, or another one.
	busyTime   = 60 * time.Millisecond
	behindTime = 150 * time.Millisecond
	wrongTime  = 500 * time.Millisecond
	// maxAsked is how many members one read is asked of.
	maxAsked = 3
)

// attempt is a statement on its way.
type attempt struct {
	run   ctdialog.Run
	began time.Time
	// offerBy is until when it must be given to a member, and until when it may
	// be answered.
	offerBy time.Time
	until   time.Time
	// asked counts the members that it was given to.
	asked  int
	tried  ctset.Set[ctid.Member]
	fault  ctquery.Fault
	choice choice
}

// choice is where a statement goes.
type choice struct {
	member  ctid.Member
	primary bool
	term    ctposition.Term
	// need is what the member must have applied.
	need ctposition.Point
}

// run runs a statement on a member and returns what the caller is told.
func (c *conversation) run(run ctdialog.Run) ctquery.Answer {
	now := c.gateway.Clock.Now()
	a := &attempt{
		run:     run,
		began:   now,
		offerBy: now.Add(c.route.TargetLatency.Or(defaultTarget) / offerPart),
		until:   now.Add(time.Duration(c.route.StatementTimeout)),
	}
	a.offerBy = earlier(a.offerBy, a.until)
	var result ctdialog.Result
	if run.Pinned {
		result = c.runPinned(a)
	} else {
		result = c.runAnywhere(a)
	}
	told := c.dialog.HandleResult(run, result)
	c.settle(told)
	c.log(a, result, told.Answer)
	return told.Answer
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// settle keeps the connection or gives it back.
func (c *conversation) settle(told ctdialog.Reply) {
	if c.pinned == nil || told.RetainConnection {
		return
	}
	if told.Rollback || told.Answer.Transaction != ctquery.TransactionNone {
		c.rollBack()
		return
	}
	c.unpin(ctpools.Result{})
}

// runPinned runs a statement on the connection of the open transaction.
func (c *conversation) runPinned(a *attempt) ctdialog.Result {
	p := c.pinned
	if p == nil {
		return ctdialog.Unanswered{}
	}
	a.choice = choice{member: p.conn.Member, primary: p.primary, term: p.term}
	for {
		answer, err := c.exchange(a, a.run.Query, a.until)
		if err != nil {
			return lost(err)
		}
		again := answer.Fault == ctquery.FaultBusy && answer.Transaction == ctquery.TransactionOpen
		if !again || !c.gateway.Clock.Now().Before(a.offerBy) {
			return c.reply(a, answer)
		}
		<-c.gateway.Clock.After(pauseTime)
	}
}

func lost(err error) ctdialog.Result {
	return ctdialog.Unanswered{TimedOut: cterror.KindOf(err) == cterror.Expired}
}

// reply makes the result of a member's answer: a write counts only while the
// member is known to be the primary.
func (c *conversation) reply(a *attempt, answer ctquery.Answer) ctdialog.Result {
	authorized := true
	if answer.OK() && a.run.Effect == ctdialog.EffectDurable {
		authorized = c.gateway.acknowledge(&c.held, c.route.Group, a.choice.term, answer.Point)
	}
	return ctdialog.Replied{Answer: answer, Authorized: authorized}
}

// runAnywhere runs a statement on a member that may run it, and tries others
// where one did not.
func (c *conversation) runAnywhere(a *attempt) ctdialog.Result {
	for {
		order := c.choices(a)
		if len(order) == 0 {
			if result := c.pause(a); result != nil {
				return result
			}
			continue
		}
		a.choice = order[0]
		if !c.acquire(a) {
			continue
		}
		if result := c.try(a); result != nil {
			return result
		}
	}
}

// pause waits a little for a member that may run the statement, and gives the
// statement up where it has waited long enough.
func (c *conversation) pause(a *attempt) ctdialog.Result {
	now := c.gateway.Clock.Now()
	limit := c.limit(a, now)
	if a.asked >= maxAsked || !now.Add(pauseTime).Before(limit) {
		return c.refuse(a)
	}
	a.tried = ctset.Set[ctid.Member]{}
	<-c.gateway.Clock.After(pauseTime)
	return nil
}

// limit returns until when a statement may wait for a member. One that is known
// to be served soon may wait longer than its offer takes: while a primary is
// being replaced, and while the proxy has just started. Where a change takes
// longer than expected, what needs the primary is refused at once, and so is
// everything where the proxy has lost its authority.
func (c *conversation) limit(a *attempt, now time.Time) time.Time {
	switch {
	case a.asked > 0 || !c.gateway.served.Load():
		return a.until
	case c.gateway.lapsed(&c.held) || c.gateway.State.ConfigOutdated(&c.held):
		return now
	}
	decided := c.gateway.State.View(&c.held).Groups[c.route.Group]
	ends := c.gateway.changeEnds(&c.held, decided)
	switch {
	case ends.IsZero():
		return a.offerBy
	case now.Before(ends):
		return earlier(ends, a.until)
	}
	return now
}

// refuse gives a statement up that did not run, or that only read.
func (c *conversation) refuse(a *attempt) ctdialog.Result {
	fault := ctquery.FaultBusy
	if a.fault == ctquery.FaultBehind {
		fault = a.fault
	}
	return ctdialog.Refused{Fault: fault, Text: "no member can run this now; retry after 250 ms"}
}

// acquire borrows a connection to the chosen member.
func (c *conversation) acquire(a *attempt) bool {
	until := c.limit(a, c.gateway.Clock.Now())
	if !a.choice.primary && until.Before(a.offerBy) && !c.gateway.lapsed(&c.held) {
		// A change of the primary that takes long keeps no replica from serving.
		until = a.offerBy
	}
	conn, err := c.gateway.Pools.Acquire(&c.held, a.choice.member, ctpools.AcquireOptions{
		State:    c.dialog.State(),
		Priority: c.route.Priority,
		Deadline: until,
	})
	if err != nil {
		a.tried.Add(a.choice.member)
		return false
	}
	c.pinned = &pinned{conn: conn, group: c.route.Group, primary: a.choice.primary, term: a.choice.term}
	if a.choice.primary {
		c.gateway.enter(&c.held, c.route.Group)
	}
	return true
}

// try runs the statement on the borrowed connection. It returns nil where the
// statement may be tried on another member.
func (c *conversation) try(a *attempt) ctdialog.Result {
	a.asked++
	query := a.run.Query
	until := a.until
	reads := a.run.Effect == ctdialog.EffectNone
	if reads {
		until = earlier(until, c.gateway.Clock.Now().Add(time.Duration(c.route.StatementTimeout)/patiencePart))
	}
	if a.run.Begin.Statement != nil {
		begin := a.run.Begin
		begin.MinPoint = a.choice.need
		answer, err := c.exchange(a, begin, until)
		if err != nil || !answer.OK() {
			return c.failed(a, answer, err)
		}
	} else {
		query.MinPoint = a.choice.need
	}
	answer, err := c.exchange(a, query, until)
	if err == nil && a.run.Begin.Statement != nil && answer.Fault == ctquery.FaultBusy {
		return c.runPinned(a)
	}
	if err != nil || answer.Fault.NotRun() || (reads && answer.Fault == ctquery.FaultFailed) {
		return c.failed(a, answer, err)
	}
	return c.reply(a, answer)
}

// failed handles a statement that did not run, or whose answer is missing. It
// returns nil where another member may be tried: nothing is left of it then.
func (c *conversation) failed(a *attempt, answer ctquery.Answer, err error) ctdialog.Result {
	member := a.choice.member
	now := c.gateway.Clock.Now()
	a.tried.Add(member)
	if err != nil {
		c.gateway.Pools.Avoid(&c.held, member, now.Add(wrongTime))
		if a.run.Effect == ctdialog.EffectDurable && a.run.Begin.Statement == nil {
			return lost(err)
		}
		c.unpin(ctpools.Result{Discard: true})
		if a.asked >= maxAsked || !now.Before(a.until) {
			return lost(err)
		}
		return nil
	}
	a.fault = answer.Fault
	if a.choice.primary && answer.Fault == ctquery.FaultBusy {
		a.asked--
	}
	c.gateway.Pools.Avoid(&c.held, member, now.Add(avoidance(answer.Fault)))
	c.gateway.Metrics.Retries.WithLabelValues(answer.Fault.String()).Inc()
	if answer.Transaction != ctquery.TransactionNone {
		c.rollBack()
	}
	// A member that does not know what was prepared on a connection has another
	// state than is noted.
	c.unpin(ctpools.Result{Discard: answer.Fault == ctquery.FaultNoStatement})
	if answer.Fault.NotRun() {
		if !now.Before(a.until) {
			return c.refuse(a)
		}
		return nil
	}
	if a.asked >= maxAsked || !now.Before(a.until) {
		return ctdialog.Replied{Answer: answer, Authorized: true}
	}
	return nil
}

func avoidance(fault ctquery.Fault) time.Duration {
	switch fault {
	case ctquery.FaultBusy:
		return busyTime
	case ctquery.FaultBehind:
		return behindTime
	default:
		return wrongTime
	}
}

// exchange runs a query on the borrowed connection and returns its answer.
func (c *conversation) exchange(a *attempt, query ctquery.Query, until time.Time) (ctquery.Answer, error) {
	conn := c.pinned.conn
	sent := c.gateway.Clock.Now()
	authorized := sent.Before(c.gateway.State.AuthorityExpiry(&c.held))
	limits := ctpools.Limits{SendDeadline: c.limit(a, sent), Deadline: until, Priority: c.route.Priority}
	answer, err := conn.Run(c.dialog.State(), query, limits)
	if err != nil {
		return ctquery.Answer{}, err
	}
	now := c.gateway.Clock.Now()
	if c.pinned.primary && authorized {
		c.gateway.sample(&c.held, c.route.Group, sent, answer.Point)
	}
	use := ctpools.Result{Answered: true, Applied: answer.Point}
	if _, begins := query.Statement.(ctquery.Begin); !begins && answer.OK() {
		use.Latency = now.Sub(sent)
	}
	c.gateway.Pools.RecordResult(&c.held, conn.Member, use)
	return answer, nil
}
