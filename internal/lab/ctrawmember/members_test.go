package ctrawmember_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctrawmember"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// open opens a connection to a member.
func open(t *testing.T, dialer ctpools.Dialer) *ctpools.Conn {
	t.Helper()
	conn, err := ctrawmember.Open(t.Context(), dialer)
	assert.NilError(t, err)
	t.Cleanup(conn.Close)
	return conn
}

// Guards against an untrue promise: a write has run, its answer is lost, and an earlier fault
// that comes again in its place is confirmed, because the later answers fit again.
func TestRepeatedFaultInPlaceOfALostAnswer(t *testing.T) {
	conn := open(t, ctrawmember.Losing{})
	answer, err := ctrawmember.Run(conn, nil, "a", ctquery.Read{Item: "x"})
	assert.NilError(t, err)
	assert.Equal(t, answer.Fault, ctquery.FaultBusy)
	answer, err = ctrawmember.Run(conn, nil, "b", ctquery.Write{Arguments: "x 1"})
	assert.Equal(t, cterror.KindOf(err), cterror.Unavailable, "the write that ran was answered %+v", answer)
}

// Guards against a session with many parameters whose every statement loses its connection.
func TestManyParametersAreSetInOneExchange(t *testing.T) {
	for _, count := range []int{1, 63, 64, 200} {
		t.Run(fmt.Sprintf("%d parameters", count), func(t *testing.T) {
			parameters := make(map[ctquery.Word]ctquery.Text)
			for i := range count {
				parameters[ctquery.Word(fmt.Sprintf("v%d", i))] = "x"
			}
			answer, err := ctrawmember.Run(open(t, ctrawmember.NewBurst()), parameters, "a", ctquery.Read{Item: "x"})
			assert.NilError(t, err)
			assert.Equal(t, answer.Proof, ctrawmember.ProofOf("a"))
		})
	}
}

// Guards against a query that is sent though an answer has arrived that none asked for: that it
// was not sent is a promise to the caller.
func TestNothingIsSentBehindAnUnaskedAnswer(t *testing.T) {
	member := ctrawmember.NewBurst()
	conn := open(t, member)
	_, err := ctrawmember.Run(conn, nil, "a", ctquery.Read{Item: "x"})
	assert.NilError(t, err)
	// Once the second one is taken, the first one is in the buffer.
	for range 2 {
		member.Answer(ctquery.Answer{Proof: ctrawmember.ProofOf("a")})
	}
	_, err = ctrawmember.Run(conn, nil, "b", ctquery.Write{Arguments: "x 1"})
	assert.Equal(t, cterror.KindOf(err), cterror.Exhausted)
	assert.Equal(t, member.Sent.Load(), int64(1))
}

// Guards against a statement that runs with other session values than its caller set.
func TestStatementsRunWithTheirValues(t *testing.T) {
	parameters := map[ctquery.Word]ctquery.Text{"v": "1"}
	assertRead := func(t *testing.T, conn *ctpools.Conn, id ctquery.ID, want cterror.Kind) {
		t.Helper()
		_, err := ctrawmember.Run(conn, parameters, id, ctquery.Read{Item: "x"})
		assert.Equal(t, cterror.KindOf(err), want)
	}
	t.Run("values that were not sent are sent with the next statement", func(t *testing.T) {
		member := &ctrawmember.Setting{}
		conn := open(t, member)
		assertRead(t, conn, ctrawmember.TooLargeID, cterror.Invalid)
		_, err := ctrawmember.Run(conn, parameters, "a", ctquery.Read{Item: "x"})
		assert.NilError(t, err)
		assert.Equal(t, member.Sets, 1)
	})
	t.Run("a success with a value that was refused is none", func(t *testing.T) {
		conn := open(t, &ctrawmember.Setting{Refuses: true})
		assertRead(t, conn, "a", cterror.Unavailable)
		assert.Assert(t, !conn.Alive())
	})
}

// Guards against a connection that ends because of a member's message without a trace of it.
func TestMalformedAnswerIsLogged(t *testing.T) {
	member := ctrawmember.NewGarbled()
	var log bytes.Buffer
	registry := prometheus.NewRegistry()
	pools := ctrawmember.NewPools(member, zerolog.New(&log))
	pools.Metrics = ctmetric.New(registry)
	var held ctlock.Held
	options := ctpools.AcquireOptions{Deadline: time.Now().Add(ctrawmember.AnswerTimeout)}
	conn, err := pools.Acquire(&held, ctrawmember.MemberName, options)
	assert.NilError(t, err)
	_, err = ctrawmember.Run(conn, nil, "a", ctquery.Read{Item: "x"})
	assert.Equal(t, cterror.KindOf(err), cterror.Unavailable)
	<-member.Closed()
	for _, part := range []string{
		`"event":"answer_malformed"`, `"member":"` + string(ctrawmember.MemberName) + `"`, `"connection":1`,
		"lone LF at offset 5",
	} {
		assert.Assert(t, bytes.Contains(log.Bytes(), []byte(part)), log.String())
	}
	families, err := registry.Gather()
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(fmt.Sprint(families), `value:"malformed"`), "%v", families)
}
