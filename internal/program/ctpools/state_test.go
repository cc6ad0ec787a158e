package ctpools_test

import (
	"context"
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

// tooLargeID is the ID of a query that fits on no line.
const tooLargeID = "too-large"

// settingMember counts the parameters that were set. It refuses them if refuses is set.
type settingMember struct {
	refuses bool
	sets    int
}

func (m *settingMember) Dial(context.Context, ctserver.Announcement) (ctpools.RawConn, error) {
	conn := &losingConn{answers: make(chan ctquery.Answer, maxLosingAnswers), closed: make(chan struct{})}
	return &settingConn{losingConn: conn, member: m}, nil
}

type settingConn struct {
	*losingConn
	member *settingMember
}

func (c *settingConn) Send(queries []ctquery.Query) error {
	for _, query := range queries {
		if query.ID == tooLargeID {
			return cterror.New(cterror.Invalid, "the query fits on no line", "shorten it")
		}
	}
	for _, query := range queries {
		var answer ctquery.Answer
		switch query.Statement.(type) {
		case ctquery.Set:
			c.member.sets++
			if c.member.refuses {
				answer.Fault, answer.Text = ctquery.FaultBusy, "i-1"
			}
		case ctquery.Read:
			answer.Proof = "proof of " + string(query.ID)
		}
		c.answers <- answer
	}
	return nil
}

// readWithParameter reads with the parameter v set.
func readWithParameter(conn *ctpools.Conn, id ctquery.ID) error {
	state := ctdialog.NewState(map[ctquery.Word]ctquery.Text{"v": "1"}, nil)
	limits := ctpools.Limits{Deadline: time.Now().Add(stutterAnswerTimeout)}
	_, err := conn.Run(state, ctquery.Query{ID: id, Statement: ctquery.Read{Item: "x"}}, limits)
	return err
}

func openTo(t *testing.T, member *settingMember) *ctpools.Conn {
	t.Helper()
	opener := ctpools.Opener{Dialer: member, Clock: &ctclock.System{}, Logger: zerolog.Nop()}
	conn, err := opener.Open(t.Context(), ctserver.Announcement{Member: "i-1"})
	assert.NilError(t, err)
	t.Cleanup(conn.Close)
	return conn
}

// Guards against a statement that runs with other session values than its caller set.
func TestStatementsRunWithTheirValues(t *testing.T) {
	t.Run("values that were not sent are sent with the next statement", func(t *testing.T) {
		member := &settingMember{}
		conn := openTo(t, member)
		assert.Equal(t, cterror.KindOf(readWithParameter(conn, tooLargeID)), cterror.Invalid)
		assert.NilError(t, readWithParameter(conn, "a"))
		assert.Equal(t, member.sets, 1)
	})
	t.Run("a success with a value that was refused is none", func(t *testing.T) {
		conn := openTo(t, &settingMember{refuses: true})
		assert.Equal(t, cterror.KindOf(readWithParameter(conn, "a")), cterror.Unavailable)
		assert.Assert(t, !conn.Alive())
	})
}
