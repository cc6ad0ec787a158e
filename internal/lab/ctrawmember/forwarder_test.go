package ctrawmember_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctrawmember"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
)

var replyTo = ctrawmember.ReplyTo

// assertOwnRows runs two reads and asserts that none gets the rows of another one.
func assertOwnRows(t *testing.T, replies func(*ctframe.Forward) []*ctframe.ForwardReply, wantAnswers int) {
	t.Helper()
	conn, err := ctrawmember.ForwardedConn(replies)
	assert.NilError(t, err)
	answers := 0
	for _, id := range []ctquery.ID{"a", "b"} {
		query := ctquery.Query{ID: id, Statement: ctquery.Read{Item: "x"}}
		answer, err := conn.Run(nil, query, ctpools.Limits{Deadline: time.Now().Add(200 * time.Millisecond)})
		if err != nil {
			continue
		}
		answers++
		assert.DeepEqual(t, answer.Rows, []string{string(id)})
	}
	assert.Equal(t, answers, wantAnswers)
}

// Guards against a forwarding proxy's reply that is taken for the reply to another query.
func TestReplyToAnotherForwardedQuery(t *testing.T) {
	t.Run("a reply that comes twice", func(t *testing.T) {
		assertOwnRows(t, func(request *ctframe.Forward) []*ctframe.ForwardReply {
			return []*ctframe.ForwardReply{replyTo(request, request.Number), replyTo(request, request.Number)}
		}, 1)
	})
	t.Run("a reply to the request before", func(t *testing.T) {
		var earlier *ctframe.Forward
		assertOwnRows(t, func(request *ctframe.Forward) []*ctframe.ForwardReply {
			if earlier == nil {
				earlier = request
				return []*ctframe.ForwardReply{replyTo(request, request.Number)}
			}
			return []*ctframe.ForwardReply{replyTo(earlier, earlier.Number), replyTo(request, request.Number)}
		}, 1)
	})
	t.Run("a reply without a number", func(t *testing.T) {
		assertOwnRows(t, func(request *ctframe.Forward) []*ctframe.ForwardReply {
			return []*ctframe.ForwardReply{replyTo(request, 0)}
		}, 0)
	})
	t.Run("replies to their requests", func(t *testing.T) {
		assertOwnRows(t, func(request *ctframe.Forward) []*ctframe.ForwardReply {
			return []*ctframe.ForwardReply{replyTo(request, request.Number)}
		}, 2)
	})
}
