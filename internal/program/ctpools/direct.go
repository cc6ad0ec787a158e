package ctpools

import (
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// maxPendingAnswers is how many answers may wait to be taken; no exchange asks more at
// once.
const maxPendingAnswers = 64

// RawConn is a connection to a member, apart from its encoding.
type RawConn interface {
	// Send sends queries in one go.
	Send(queries []ctquery.Query) error
	// Receive returns the next whole answer.
	Receive() (ctquery.Answer, error)
	Close()
}

// directExecutor is a connection to a member. One goroutine uses it at a time.
type directExecutor struct {
	// connectionState is what the connection holds of sessions' state.
	connectionState ctdialog.ConnectionState
	raw             RawConn
	clock           ctclock.Clock
	answers         chan ctquery.Answer
	closed          chan struct{}
	closeOnce       sync.Once
	// answerPending reports that an answer is outstanding.
	answerPending bool
}

func newDirectExecutor(raw RawConn, clock ctclock.Clock) *directExecutor {
	e := &directExecutor{
		raw:     raw,
		clock:   clock,
		answers: make(chan ctquery.Answer, maxPendingAnswers),
		closed:  make(chan struct{}),
	}
	go e.read()
	return e
}

// read takes answers until the connection ends.
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

// matches reports whether the connection has the session's values.
func (e *directExecutor) matches(state *ctdialog.State) bool {
	return e.connectionState.Matches(state)
}

// run runs a query, with what the connection lacks of the session's state before
// it.
func (e *directExecutor) run(state *ctdialog.State, query ctquery.Query, limits Limits) (ctquery.Answer, error) {
	var queries []ctquery.Query
	if state != nil {
		queries = e.connectionState.Update(state, query.Statement)
	}
	queries = append(queries, query)
	answers, err := e.exchange(queries, limits.Deadline)
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

// alive reports whether the connection can be lent out: it works, and nothing
// came on it that was not asked for.
func (e *directExecutor) alive() bool {
	select {
	case <-e.closed:
		return false
	default:
		return !e.answerPending && len(e.answers) == 0
	}
}

// exchange sends queries and waits for all their answers. Where one is missing
// it returns those that came with an error of kind cterror.Unavailable, or
// cterror.Expired where the time ran out; the connection can't be used any more.
func (e *directExecutor) exchange(queries []ctquery.Query, deadline time.Time) ([]ctquery.Answer, error) {
	e.answerPending = true
	if err := e.raw.Send(queries); err != nil {
		e.close()
		return nil, cterror.Wrap(cterror.Unavailable, err, "send to the member", "try another member")
	}
	timer := time.NewTimer(deadline.Sub(e.clock.Now()))
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
		case <-timer.C:
			return answers, cterror.New(cterror.Expired, "the member did not answer in time", "try another member")
		}
	}
	e.answerPending = false
	return answers, nil
}

// drain takes the answers that came before the connection ended.
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
