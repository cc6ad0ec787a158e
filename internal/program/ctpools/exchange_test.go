package ctpools_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctdialog"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// burstMember is a member whose answers arrive before the write of their queries returns, if
// the proxy reads them so soon.
type burstMember struct{}

func (burstMember) Dial(context.Context, ctserver.Announcement) (ctpools.RawConn, error) {
	return &burstConn{answers: make(chan ctquery.Answer), closed: make(chan struct{})}, nil
}

type burstConn struct {
	answers chan ctquery.Answer
	closed  chan struct{}
	once    sync.Once
}

// burstWait is how long a write waits until its answers are read.
const burstWait = 50 * time.Millisecond

func (c *burstConn) Send(queries []ctquery.Query) error {
	allRead := make(chan struct{})
	go func() {
		defer close(allRead)
		for _, query := range queries {
			var answer ctquery.Answer
			if query.ID != "" {
				answer.Proof = "proof of " + string(query.ID)
			}
			select {
			case c.answers <- answer:
			case <-c.closed:
				return
			}
		}
	}()
	select {
	case <-allRead:
	case <-time.After(burstWait):
	}
	return nil
}

func (c *burstConn) Receive() (ctquery.Answer, error) {
	select {
	case answer := <-c.answers:
		return answer, nil
	case <-c.closed:
		return ctquery.Answer{}, io.EOF
	}
}

func (c *burstConn) Close() { c.once.Do(func() { close(c.closed) }) }

// Guards against a session with many parameters whose every statement loses its connection.
func TestManyParametersAreSetInOneExchange(t *testing.T) {
	for _, count := range []int{1, 63, 64, 200} {
		t.Run(fmt.Sprintf("%d parameters", count), func(t *testing.T) {
			parameters := make(map[ctquery.Word]ctquery.Text)
			for i := range count {
				parameters[ctquery.Word(fmt.Sprintf("v%d", i))] = "x"
			}
			opener := ctpools.Opener{Dialer: burstMember{}, Clock: &ctclock.System{}, Logger: zerolog.Nop()}
			conn, err := opener.Open(t.Context(), ctserver.Announcement{Member: "i-1"})
			assert.NilError(t, err)
			defer conn.Close()
			query := ctquery.Query{ID: "a", Statement: ctquery.Read{Item: "x"}}
			limits := ctpools.Limits{Deadline: time.Now().Add(stutterAnswerTimeout)}
			answer, err := conn.Run(ctdialog.NewState(parameters, nil), query, limits)
			assert.NilError(t, err)
			assert.Equal(t, answer.Proof, "proof of a")
		})
	}
}

// countingDialer opens one connection whose queries it counts.
type countingDialer struct {
	conn burstConn
	sent atomic.Int64
}

func (d *countingDialer) Dial(context.Context, ctserver.Announcement) (ctpools.RawConn, error) {
	d.conn.answers, d.conn.closed = make(chan ctquery.Answer), make(chan struct{})
	return &countingConn{burstConn: &d.conn, sent: &d.sent}, nil
}

type countingConn struct {
	*burstConn
	sent *atomic.Int64
}

func (c *countingConn) Send(queries []ctquery.Query) error {
	c.sent.Add(int64(len(queries)))
	return c.burstConn.Send(queries)
}

// Guards against a query that is sent though an answer has arrived that none asked for: that it
// was not sent is a promise to the caller.
func TestNothingIsSentBehindAnUnaskedAnswer(t *testing.T) {
	dialer := &countingDialer{}
	opener := ctpools.Opener{Dialer: dialer, Clock: &ctclock.System{}, Logger: zerolog.Nop()}
	conn, err := opener.Open(t.Context(), ctserver.Announcement{Member: "i-1"})
	assert.NilError(t, err)
	defer conn.Close()
	limits := ctpools.Limits{Deadline: time.Now().Add(stutterAnswerTimeout)}
	_, err = conn.Run(nil, ctquery.Query{ID: "a", Statement: ctquery.Read{Item: "x"}}, limits)
	assert.NilError(t, err)
	// Once the second one is taken, the first one is in the buffer.
	for range 2 {
		dialer.conn.answers <- ctquery.Answer{Proof: "proof of a"}
	}
	_, err = conn.Run(nil, ctquery.Query{ID: "b", Statement: ctquery.Write{Arguments: "x 1"}}, limits)
	assert.Equal(t, cterror.KindOf(err), cterror.Exhausted)
	assert.Equal(t, dialer.sent.Load(), int64(1))
}
