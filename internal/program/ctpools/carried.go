package ctpools

import (
	"sync"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// carryTime is how much longer than the query's own time the answer of the proxy
// that carries it may take.
const carryTime = 150 * time.Millisecond

// carried is a way to a proxy of the member's failure domain, which runs queries
// on its own connections. One goroutine uses it at a time.
type carried struct {
	member  ctid.Member
	way     ctframe.Stream
	clock   ctclock.Clock
	answers chan *ctframe.ForwardReply
	broken  chan struct{}
	closing sync.Once

	mutex sync.Mutex
	// parting reports that the other proxy is to stop, and unclean that an answer
	// is outstanding.
	parting bool
	unclean bool
}

func newCarried(member ctid.Member, way ctframe.Stream, clock ctclock.Clock) *carried {
	c := &carried{
		member:  member,
		way:     way,
		clock:   clock,
		answers: make(chan *ctframe.ForwardReply, 1),
		broken:  make(chan struct{}),
	}
	go c.read()
	return c
}

// read takes frames until the way ends.
func (c *carried) read() {
	defer c.close()
	for {
		frame, err := c.way.Read()
		if err != nil {
			return
		}
		answer, ok := frame.(*ctframe.ForwardReply)
		if !ok {
			return
		}
		if answer.Stopping {
			c.set(func() { c.parting = true })
			continue
		}
		select {
		case c.answers <- answer:
		default:
			return
		}
	}
}

func (c *carried) set(change func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	change()
}

func (c *carried) close() {
	c.closing.Do(func() {
		close(c.broken)
		c.way.Close()
	})
}

func (c *carried) matches(*ctdialog.State) bool {
	return true
}

func (c *carried) alive() bool {
	select {
	case <-c.broken:
		return false
	default:
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.parting && !c.unclean
}

// run has the query run by the other proxy. A query that did not get to the
// member is answered as one for which the member was busy.
func (c *carried) run(state *ctdialog.State, query ctquery.Query, limits Limits) (ctquery.Answer, error) {
	now := c.clock.Now()
	frame := &ctframe.Forward{
		Member:         c.member,
		Query:          ctframe.NewQuery(query),
		AcquireTimeout: max(0, limits.SendDeadline.Sub(now)),
		AnswerTimeout:  limits.Deadline.Sub(now),
		Priority:       limits.Priority,
	}
	if state != nil {
		frame.Parameters = state.Parameters()
		frame.Shape = state.ShapeOf(query.Statement)
	}
	c.set(func() { c.unclean = true })
	if err := c.way.Write(frame); err != nil {
		c.close()
		return ctquery.Answer{}, cterror.Wrap(cterror.Unavailable, err, "send to the carrying proxy", "try another member")
	}
	answer, err := c.await(limits.Deadline.Add(carryTime).Sub(now))
	if err != nil {
		return ctquery.Answer{}, err
	}
	c.set(func() { c.unclean = false })
	return translate(answer)
}

func (c *carried) await(d time.Duration) (*ctframe.ForwardReply, error) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case answer := <-c.answers:
		return answer, nil
	case <-c.broken:
		select {
		case answer := <-c.answers:
			return answer, nil
		default:
		}
		return nil, cterror.New(cterror.Unavailable, "the way to the carrying proxy broke", "try another member")
	case <-timer.C:
		return nil, cterror.New(cterror.Expired, "the carrying proxy did not answer in time", "try another member")
	}
}

// translate makes an answer of what the other proxy told.
func translate(c *ctframe.ForwardReply) (ctquery.Answer, error) {
	switch {
	case c.Answer != nil:
		return *c.Answer, nil
	case c.Refused:
		return ctquery.Answer{Fault: ctquery.FaultBusy, Text: "the carrying proxy had no connection in time"}, nil
	case c.TimedOut:
		return ctquery.Answer{}, cterror.New(cterror.Expired, "the member did not answer in time", "try another member")
	}
	return ctquery.Answer{}, cterror.New(cterror.Unavailable, "the connection to the member broke", "try another member")
}
