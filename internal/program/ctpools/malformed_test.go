package ctpools_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctmetric"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// garbler is a member whose answers can't be decoded.
type garbler struct {
	sent   chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (g *garbler) Dial(context.Context, ctserver.Announcement) (ctpools.RawConn, error) {
	return g, nil
}

func (g *garbler) Send([]ctquery.Query) error {
	close(g.sent)
	return nil
}

func (g *garbler) Receive() (ctquery.Answer, error) {
	select {
	case <-g.sent:
	case <-g.closed:
	}
	return ctquery.Answer{}, cterror.New(cterror.Invalid, "a line has a lone LF at offset 5", "end lines with CR LF")
}

func (g *garbler) Close() { g.once.Do(func() { close(g.closed) }) }

// TestMalformedAnswerIsLogged guards against a connection that ends because of a member's
// message without a trace of it.
func TestMalformedAnswerIsLogged(t *testing.T) {
	member := &garbler{sent: make(chan struct{}), closed: make(chan struct{})}
	var log bytes.Buffer
	registry := prometheus.NewRegistry()
	pools := newMemberPools(member, zerolog.New(&log))
	pools.Metrics = ctmetric.New(registry)
	var held ctlock.Held
	deadline := time.Now().Add(stutterAnswerTimeout)
	conn, err := pools.Acquire(&held, stutterMember, ctpools.AcquireOptions{Deadline: deadline})
	assert.NilError(t, err)
	_, err = conn.Run(nil, ctquery.Query{ID: "a", Statement: ctquery.Read{Item: "x"}}, ctpools.Limits{Deadline: deadline})
	assert.Equal(t, cterror.KindOf(err), cterror.Unavailable)
	<-member.closed
	for _, part := range []string{
		`"event":"answer_malformed"`, `"member":"` + string(stutterMember) + `"`, `"connection":1`, "lone LF at offset 5",
	} {
		assert.Assert(t, bytes.Contains(log.Bytes(), []byte(part)), log.String())
	}
	families, err := registry.Gather()
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(fmt.Sprint(families), `value:"malformed"`), "%v", families)
}
