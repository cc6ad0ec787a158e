package ctpools_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// losingMember refuses all queries with an ID but writes. It runs a write, whose answer gets
// lost, and sends the answer before it once more.
type losingMember struct{}

func (losingMember) Dial(context.Context, ctserver.Announcement) (ctpools.RawConn, error) {
	return &losingConn{answers: make(chan ctquery.Answer, maxLosingAnswers), closed: make(chan struct{})}, nil
}

// maxLosingAnswers is how many answers a test receives at most.
const maxLosingAnswers = 64

type losingConn struct {
	answers     chan ctquery.Answer
	closed      chan struct{}
	once        sync.Once
	transaction ctquery.Transaction
	last        ctquery.Answer
}

func (c *losingConn) Send(queries []ctquery.Query) error {
	for _, query := range queries {
		if _, writes := query.Statement.(ctquery.Write); !writes {
			c.last = c.answer(query)
		}
		c.answers <- c.last
	}
	return nil
}

func (c *losingConn) answer(query ctquery.Query) ctquery.Answer {
	switch query.Statement.(type) {
	case ctquery.Begin:
		c.transaction = ctquery.TransactionOpen
	case ctquery.Rollback:
		c.transaction = ctquery.TransactionNone
	}
	answer := ctquery.Answer{Transaction: c.transaction}
	if query.ID != "" {
		answer.Fault, answer.Text = ctquery.FaultBusy, "i-1"
	}
	return answer
}

func (c *losingConn) Receive() (ctquery.Answer, error) {
	select {
	case answer := <-c.answers:
		return answer, nil
	case <-c.closed:
		return ctquery.Answer{}, io.EOF
	}
}

func (c *losingConn) Close() { c.once.Do(func() { close(c.closed) }) }

// Guards against an untrue promise: a write has run, its answer is lost, and an earlier fault
// that comes again in its place is confirmed, because the later answers fit again.
func TestRepeatedFaultInPlaceOfALostAnswer(t *testing.T) {
	opener := ctpools.Opener{Dialer: losingMember{}, Clock: &ctclock.System{}, Logger: zerolog.Nop()}
	conn, err := opener.Open(t.Context(), ctserver.Announcement{Member: "i-1"})
	assert.NilError(t, err)
	defer conn.Close()
	limits := ctpools.Limits{Deadline: time.Now().Add(time.Second)}
	answer, err := conn.Run(nil, ctquery.Query{ID: "a", Statement: ctquery.Read{Item: "x"}}, limits)
	assert.NilError(t, err)
	assert.Equal(t, answer.Fault, ctquery.FaultBusy)
	answer, err = conn.Run(nil, ctquery.Query{ID: "b", Statement: ctquery.Write{Arguments: "x 1"}}, limits)
	assert.Equal(t, cterror.KindOf(err), cterror.Unavailable, "the write that ran was answered %+v", answer)
}
