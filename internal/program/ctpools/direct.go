package ctpools

import (
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctreply"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// maxPendingAnswers is how many received answers are buffered. Further ones wait in the
// network.
const maxPendingAnswers = 64

// RawConn is a connection to a member, independent of its encoding. It has no pooling
// and keeps no session state.
type RawConn interface {
	// Send sends all queries without waiting for answers between them. If one of them does
	// not fit on a line, it sends none and returns an error of kind cterror.Invalid.
	Send(queries []ctquery.Query) error
	// Receive waits for the next complete answer. It fails once the connection is
	// closed, and with an error of kind cterror.Invalid if an answer can't be decoded.
	Receive() (ctquery.Answer, error)
	// Close may be called while Receive waits.
	Close()
}

// directExecutor runs queries over a connection that this proxy owns. One goroutine
// uses it at a time.
type directExecutor struct {
	// connectionState records which values and prepared statements the connection has.
	connectionState ctdialog.ConnectionState
	// conversation judges the answers.
	conversation ctreply.Conversation
	reporter     doubtReporter
	raw          RawConn
	clock        ctclock.Clock
	answers      chan ctquery.Answer
	closed       chan struct{}
	closeOnce    sync.Once
	// inDoubt reports that the connection was closed because an answer was in doubt.
	inDoubt bool
	// unconfirmed reports that the last answer was returned before it was confirmed. The
	// confirmation comes before any other query.
	unconfirmed bool
	// answerPending reports that an answer is outstanding; the connection can't be
	// used for another session then.
	answerPending bool
}

func newDirectExecutor(raw RawConn, clock ctclock.Clock, reporter doubtReporter) *directExecutor {
	e := &directExecutor{
		reporter: reporter,
		raw:      raw,
		clock:    clock,
		answers:  make(chan ctquery.Answer, maxPendingAnswers),
		closed:   make(chan struct{}),
	}
	go e.read()
	return e
}

// read receives answers until the connection ends. It closes the connection if an answer can't
// be decoded.
func (e *directExecutor) read() {
	defer e.close()
	for {
		answer, err := e.raw.Receive()
		if cterror.KindOf(err) == cterror.Invalid {
			e.reporter.reportMalformed(err)
		}
		if err != nil {
			return
		}
		select {
		case e.answers <- answer:
		case <-e.closed:
			return
		}
	}
}

func (e *directExecutor) close() {
	e.closeOnce.Do(func() {
		close(e.closed)
		e.raw.Close()
	})
}

func (e *directExecutor) closedInDoubt() bool {
	return e.inDoubt
}

// maxRetainedStateBytes is the most session state that a connection between two users may retain.
// No client is charged for it.
const maxRetainedStateBytes = 64 << 10

func (e *directExecutor) holdsLargeState() bool {
	return e.connectionState.Bytes() > maxRetainedStateBytes
}

// matches reports whether the connection has the session's values already.
func (e *directExecutor) matches(state *ctdialog.State) bool {
	return e.connectionState.Matches(state)
}

// run runs a query. Queries that establish the missing parts of the session's state
// are sent ahead of it.
func (e *directExecutor) run(state *ctdialog.State, query ctquery.Query, limits Limits) (ctquery.Answer, error) {
	if _, ends := query.Statement.(ctquery.Rollback); ends && e.conversation.Transaction() == ctquery.TransactionNone {
		return ctquery.Answer{}, nil
	}
	if !e.alive() || e.settle(limits) != nil {
		e.close()
		return ctquery.Answer{}, errNotSent()
	}
	var queries []ctquery.Query
	before := e.connectionState
	if state != nil {
		queries = e.connectionState.Update(state, query.Statement)
	}
	queries = append(queries, query)
	ahead := queriesOf(e.conversation.AheadConfirmation(query.Statement))
	x := exchange{executor: e, limits: limits, confirming: len(queries)}
	answers, err := x.run(append(queries, ahead...))
	if cterror.KindOf(err) == cterror.Invalid {
		e.connectionState = before
	}
	if err != nil {
		return ctquery.Answer{}, err
	}
	last := len(queries) - 1
	if err := e.requireAccepted(answers[:last]); err != nil {
		return ctquery.Answer{}, err
	}
	answer := answers[last]
	switch {
	case len(ahead) > 0:
		e.conversation.Confirmed()
	case x.unconfirmed && e.mayWait(state, query.Statement, answer):
		e.unconfirmed = true
	case x.unconfirmed:
		err = e.confirm(limits)
	}
	answer.Transaction = e.conversation.Transaction()
	if answer.Fault == ctquery.FaultNoStatement {
		// The member has lost what was set up on the connection, or some of it.
		e.close()
	}
	return answer, err
}

// requireAccepted closes the connection and returns an error if the member refused a part of
// the session's state.
func (e *directExecutor) requireAccepted(answers []ctquery.Answer) error {
	for _, answer := range answers {
		if !answer.OK() {
			e.close()
			return cterror.New(cterror.Unavailable,
				"the member refused the session's state: "+answer.Text, "try another member")
		}
	}
	return nil
}

// mayWait reports whether an answer may be returned before it is confirmed: a fault after which a
// member keeps nothing of the statement, whatever became of it. That is one of a read outside a
// transaction, or of a begin, whose connection is closed if it took effect after all.
func (e *directExecutor) mayWait(state *ctdialog.State, statement ctquery.Statement, answer ctquery.Answer) bool {
	if answer.OK() || e.conversation.Transaction() != ctquery.TransactionNone {
		return false
	}
	_, begins := statement.(ctquery.Begin)
	return begins || reads(state, statement)
}

// unsettled reports whether the last answer has yet to be confirmed.
func (e *directExecutor) unsettled() bool {
	return e.unconfirmed
}

// settle confirms the last answer if it was returned unconfirmed.
func (e *directExecutor) settle(limits Limits) error {
	if !e.unconfirmed {
		return nil
	}
	e.unconfirmed = false
	return e.confirm(limits)
}

// confirm makes sure that the last answer was not a repeat.
func (e *directExecutor) confirm(limits Limits) error {
	if !e.alive() {
		e.close()
		return errInDoubt()
	}
	x := exchange{executor: e, limits: limits}
	if _, err := x.run(queriesOf(e.conversation.Confirmation())); err != nil {
		return err
	}
	e.conversation.Confirmed()
	return nil
}

// queriesOf returns queries of the proxy's own.
func queriesOf(statements []ctquery.Statement) []ctquery.Query {
	var queries []ctquery.Query
	for _, statement := range statements {
		queries = append(queries, ctquery.Query{Statement: statement})
	}
	return queries
}

// alive reports whether the connection can be used: it is open, no answer is
// outstanding, and no unexpected answer has arrived. It closes a connection on which one
// has.
func (e *directExecutor) alive() bool {
	select {
	case <-e.closed:
		return false
	default:
	}
	if e.answerPending {
		return false
	}
	select {
	case answer := <-e.answers:
		e.doubt(ctreply.InDoubt{Doubt: ctreply.DoubtUnasked}, nil, answer)
		return false
	default:
		return true
	}
}

// doubt reports an answer that does not belong to its query, and closes the connection.
func (e *directExecutor) doubt(doubt ctreply.InDoubt, statement ctquery.Statement, answer ctquery.Answer) {
	e.inDoubt = true
	e.reporter.report(doubt, statement, answer)
	e.close()
}

// exchange sends queries on a connection and judges their answers.
type exchange struct {
	executor *directExecutor
	limits   Limits
	// confirming is the index of the first query that confirms the answers before it.
	confirming int
	// unconfirmed reports whether the last answer is to be confirmed.
	unconfirmed bool
}

// run sends queries and waits for all their answers. If one of them can't be sent on any
// connection, it sends none and returns an error of kind cterror.Invalid; the connection can
// still be used. If some answers don't arrive, it returns an error of kind cterror.Expired
// after the deadline or once they are abandoned, else, or if an answer is in doubt, of kind
// cterror.Unavailable. The connection can't be used after these errors.
func (x *exchange) run(queries []ctquery.Query) ([]ctquery.Answer, error) {
	e := x.executor
	e.answerPending = true
	err := e.raw.Send(queries)
	if cterror.KindOf(err) == cterror.Invalid {
		e.answerPending = false
		return nil, err
	}
	if err != nil {
		e.close()
		return nil, cterror.Wrap(cterror.Unavailable, err, "send to the member", "try another member")
	}
	timer := time.NewTimer(x.limits.Deadline.Sub(e.clock.Now()))
	defer timer.Stop()
	answers := make([]ctquery.Answer, 0, len(queries))
	for i, query := range queries {
		answer, err := x.receive(timer.C)
		if err != nil {
			return nil, err
		}
		judge := e.conversation.Judge
		if i >= x.confirming {
			judge = e.conversation.JudgeConfirmation
		}
		switch verdict := judge(query.Statement, answer).(type) {
		case ctreply.InDoubt:
			e.doubt(verdict, query.Statement, answer)
			return nil, errInDoubt()
		case ctreply.Unconfirmed:
			x.unconfirmed = true
		case ctreply.Fits:
		}
		answers = append(answers, answer)
	}
	e.answerPending = false
	return answers, nil
}

// receive waits for the next answer, which may have arrived just before the connection ended.
func (x *exchange) receive(timeout <-chan time.Time) (ctquery.Answer, error) {
	e := x.executor
	select {
	case answer := <-e.answers:
		return answer, nil
	case <-e.closed:
		select {
		case answer := <-e.answers:
			return answer, nil
		default:
		}
		return ctquery.Answer{}, cterror.New(cterror.Unavailable,
			"the connection to the member broke", "try another member")
	case <-x.limits.Abandoned:
		return ctquery.Answer{}, errAbandoned()
	case <-timeout:
		return ctquery.Answer{}, cterror.New(cterror.Expired, "the member did not answer in time", "try another member")
	}
}
