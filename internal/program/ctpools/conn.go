package ctpools

import (
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
)

// answerRoom is how many answers may wait to be taken; no exchange asks more at
// once.
const answerRoom = 64

// Link is a connection to a member, apart from its encoding.
type Link interface {
	// Send sends queries in one go.
	Send(queries []ctquery.Query) error
	// Receive returns the next whole answer.
	Receive() (ctquery.Answer, error)
	Close()
}

// Conn is a connection to a member. One goroutine uses it at a time.
type Conn struct {
	Member ctid.Member
	// Loaded is what the connection holds of sessions' state.
	Loaded ctdialog.Loaded

	// incarnation is that of the member's process.
	incarnation ctid.Incarnation

	link    Link
	pools   *Pools
	answers chan ctquery.Answer
	broken  chan struct{}
	closing sync.Once
	// used is when it was lent out last.
	used time.Time
	// unclean reports that an answer is outstanding.
	unclean bool
}

func newConn(pools *Pools, server ctserver.Announcement, link Link) *Conn {
	c := &Conn{
		Member:      server.Member,
		incarnation: server.Incarnation,
		link:        link,
		pools:       pools,
		answers:     make(chan ctquery.Answer, answerRoom),
		broken:      make(chan struct{}),
	}
	go c.read()
	return c
}

// read takes answers until the connection ends.
func (c *Conn) read() {
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

func (c *Conn) close() {
	c.closing.Do(func() {
		close(c.broken)
		c.link.Close()
	})
}

// Abandon closes the connection, whose state is not what was asked for.
func (c *Conn) Abandon() {
	c.close()
}

// Alive reports whether the connection can be lent out: it works, and nothing
// came on it that was not asked for.
func (c *Conn) Alive() bool {
	select {
	case <-c.broken:
		return false
	default:
		return !c.unclean && len(c.answers) == 0
	}
}

// Exchange sends queries and waits for all their answers. Where one is missing
// it returns those that came with an error of kind cterror.Unavailable, or
// cterror.Expired where the time ran out; the connection can't be used any more.
func (c *Conn) Exchange(queries []ctquery.Query, until time.Time) ([]ctquery.Answer, error) {
	c.unclean = true
	if err := c.link.Send(queries); err != nil {
		c.close()
		return nil, cterror.Wrap(cterror.Unavailable, err, "send to the member", "try another member")
	}
	timer := time.NewTimer(until.Sub(c.pools.Clock.Now()))
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
func (c *Conn) drain(answers []ctquery.Answer, want int) []ctquery.Answer {
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
