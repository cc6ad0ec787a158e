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

// maxPendingAnswers is how many received answers are buffered. No exchange sends more
// queries at once.
const maxPendingAnswers = 64

// RawConn is a connection to a member, independent of its encoding. It has no pooling
// and keeps no session state.
type RawConn interface {
	// Send sends all queries without waiting for answers between them.
	Send(queries []ctquery.Query) error
	// Receive waits for the next complete answer. It fails once the connection is
	// closed.
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

// read receives answers until the connection ends. It closes the connection if more
// answers arrive than the buffer holds.
func (e *directExecutor) read() {
	defer e.close()
	for {
		answer, err := e.raw.Receive()
		if err != nil {
			return
		}
		select {
		case e.answers <- answer:
		default:
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

// matches reports whether the connection has the session's values already.
func (e *directExecutor) matches(state *ctdialog.State) bool {
	return e.connectionState.Matches(state)
}

// run runs a query. Queries that establish the missing parts of the session's state
// are sent ahead of it.
func (e *directExecutor) run(state *ctdialog.State, query ctquery.Query, limits Limits) (ctquery.Answer, error) {
	var queries []ctquery.Query
	if state != nil {
		queries = e.connectionState.Update(state, query.Statement)
	}
	queries = append(queries, query)
	answers, err := e.exchange(queries, limits)
	if err != nil {
		return ctquery.Answer{}, err
	}
	last := len(answers) - 1
	for _, answer := range answers[:last] {
		if !answer.OK() {
			e.close()
			return ctquery.Answer{}, cterror.New(cterror.Unavailable,
				"the member refused the session's state: "+answer.Text, "try another member")
		}
	}
	return answers[last], nil
}

// alive reports whether the connection can be used: it is open, no answer is
// outstanding, and no unexpected answer has arrived.
func (e *directExecutor) alive() bool {
	select {
	case <-e.closed:
		return false
	default:
		return !e.answerPending && len(e.answers) == 0
	}
}

// exchange sends queries and waits for all their answers. If some don't arrive, it
// returns those that did, with an error of kind cterror.Expired after the deadline or
// once they are abandoned, else of kind cterror.Unavailable. The connection can't be used
// after an error.
func (e *directExecutor) exchange(queries []ctquery.Query, limits Limits) ([]ctquery.Answer, error) {
	e.answerPending = true
	if err := e.raw.Send(queries); err != nil {
		e.close()
		return nil, cterror.Wrap(cterror.Unavailable, err, "send to the member", "try another member")
	}
	timer := time.NewTimer(limits.Deadline.Sub(e.clock.Now()))
	defer timer.Stop()
	answers := make([]ctquery.Answer, 0, len(queries))
	for len(answers) < len(queries) {
		select {
		case answer := <-e.answers:
			answers = append(answers, answer)
		case <-e.closed:
			if answers = e.drain(answers, len(queries)); len(answers) < len(queries) {
				return answers, cterror.New(cterror.Unavailable, "the connection to the member broke", "try another member")
			}
		case <-limits.Abandoned:
			return answers, errAbandoned()
		case <-timer.C:
			return answers, cterror.New(cterror.Expired, "the member did not answer in time", "try another member")
		}
	}
	e.answerPending = false
	for i, answer := range answers {
		if doubt, ok := e.conversation.Judge(queries[i].Statement, answer).(ctreply.InDoubt); ok {
			e.reporter.report(doubt, queries[i].Statement, answer)
		}
	}
	return answers, nil
}

// drain appends the answers that were received before the connection ended, up to
// want in all.
func (e *directExecutor) drain(answers []ctquery.Answer, want int) []ctquery.Answer {
	for len(answers) < want {
		select {
		case answer := <-e.answers:
			answers = append(answers, answer)
		default:
			return answers
		}
	}
	return answers
}
