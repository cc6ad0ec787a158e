package ctpools

import (
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// answerRoom is how many answers may wait to be taken; no exchange asks more at
// once.
const answerRoom = 64

// RawConn is a connection to a member, apart from its encoding.
type RawConn interface {
	// Send sends queries in one go.
	Send(queries []ctquery.Query) error
	// Receive returns the next whole answer.
	Receive() (ctquery.Answer, error)
	Close()
}

// direct is a connection to a member. One goroutine uses it at a time.
type direct struct {
	// loaded is what the connection holds of sessions' state.
	loaded  ctdialog.ConnectionState
	link    RawConn
	clock   ctclock.Clock
	answers chan ctquery.Answer
	broken  chan struct{}
	closing sync.Once
	// unclean reports that an answer is outstanding.
	unclean bool
}

func newDirect(link RawConn, clock ctclock.Clock) *direct {
	c := &direct{
		link:    link,
		clock:   clock,
		answers: make(chan ctquery.Answer, answerRoom),
		broken:  make(chan struct{}),
	}
	go c.read()
	return c
}

// read takes answers until the connection ends.
func (c *direct) read() {
	defer c.close()
	for {
		answer, err := c.link.Receive()
		if err != nil {
			return
		}
		select {
		case c.answers <- answer:
		default:
			return
		}
	}
}

func (c *direct) close() {
	c.closing.Do(func() {
		close(c.broken)
		c.link.Close()
	})
}

// matches reports whether the connection has the session's values.
func (c *direct) matches(state *ctdialog.State) bool {
	return c.loaded.Matches(state)
}

// run runs a query, with what the connection lacks of the session's state before
// it.
func (c *direct) run(state *ctdialog.State, query ctquery.Query, limits Limits) (ctquery.Answer, error) {
	var queries []ctquery.Query
	if state != nil {
		queries = c.loaded.Update(state, query.Statement)
	}
	queries = append(queries, query)
	answers, err := c.exchange(queries, limits.Deadline)
	if err != nil {
		return ctquery.Answer{}, err
	}
	last := len(answers) - 1
	for _, answer := range answers[:last] {
		if !answer.OK() {
			c.close()
			return ctquery.Answer{}, cterror.New(cterror.Unavailable,
				"the member refused the session's state: "+answer.Text, "try another member")
		}
	}
	return answers[last], nil
}

// alive reports whether the connection can be lent out: it works, and nothing
// came on it that was not asked for.
func (c *direct) alive() bool {
	select {
	case <-c.broken:
		return false
	default:
		return !c.unclean && len(c.answers) == 0
	}
}

// exchange sends queries and waits for all their answers. Where one is missing
// it returns those that came with an error of kind cterror.Unavailable, or
// cterror.Expired where the time ran out; the connection can't be used any more.
func (c *direct) exchange(queries []ctquery.Query, until time.Time) ([]ctquery.Answer, error) {
	c.unclean = true
	if err := c.link.Send(queries); err != nil {
		c.close()
		return nil, cterror.Wrap(cterror.Unavailable, err, "send to the member", "try another member")
	}
	timer := time.NewTimer(until.Sub(c.clock.Now()))
	defer timer.Stop()
	answers := make([]ctquery.Answer, 0, len(queries))
	for len(answers) < len(queries) {
		select {
		case answer := <-c.answers:
			answers = append(answers, answer)
		case <-c.broken:
			if answers = c.drain(answers, len(queries)); len(answers) < len(queries) {
				return answers, cterror.New(cterror.Unavailable, "the connection to the member broke", "try another member")
			}
		case <-timer.C:
			return answers, cterror.New(cterror.Expired, "the member did not answer in time", "try another member")
		}
	}
	c.unclean = false
	return answers, nil
}

// drain takes the answers that came before the connection ended.
func (c *direct) drain(answers []ctquery.Answer, want int) []ctquery.Answer {
	for len(answers) < want {
		select {
		case answer := <-c.answers:
			answers = append(answers, answer)
		default:
			return answers
		}
	}
	return answers
}
