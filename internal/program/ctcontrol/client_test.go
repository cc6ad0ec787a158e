package ctcontrol_test

import (
	"context"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctsuccession"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctcontrol"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// repeatingMember is a member that sends some statuses twice, the second one with the next
// command. Its statuses are numbered.
type repeatingMember struct {
	mutex  sync.Mutex
	random *rand.Rand
	number int
	dials  int
}

func (m *repeatingMember) Dial(context.Context, ctserver.Announcement) (ctpools.RawConn, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.dials++
	return &repeatingConn{member: m, answers: make(chan ctquery.Answer, 64), closed: make(chan struct{})}, nil
}

// last returns the number of the latest status.
func (m *repeatingMember) last() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.number
}

// repeatingConn is a connection to a repeatingMember. late is the answer to be repeated, or
// nil.
type repeatingConn struct {
	member  *repeatingMember
	answers chan ctquery.Answer
	closed  chan struct{}
	once    sync.Once
	late    *ctquery.Answer
	state   ctquery.Transaction
}

func (c *repeatingConn) Close() { c.once.Do(func() { close(c.closed) }) }

func (c *repeatingConn) Receive() (ctquery.Answer, error) {
	select {
	case answer := <-c.answers:
		return answer, nil
	case <-c.closed:
		return ctquery.Answer{}, io.EOF
	}
}

func (c *repeatingConn) Send(queries []ctquery.Query) error {
	c.member.mutex.Lock()
	defer c.member.mutex.Unlock()
	if c.late != nil {
		c.answers <- *c.late
		c.late = nil
	}
	for _, query := range queries {
		answer := c.answer(query.Statement)
		c.answers <- answer
		if c.member.random.IntN(3) == 0 {
			c.late = &answer
		}
	}
	return nil
}

func (c *repeatingConn) answer(statement ctquery.Statement) ctquery.Answer {
	var rows []string
	switch statement.(type) {
	case ctquery.Begin:
		c.state = ctquery.TransactionOpen
	case ctquery.Rollback:
		c.state = ctquery.TransactionNone
	case ctquery.ReadStatus, ctquery.Pause, ctquery.Resume, ctquery.StepDown:
		c.member.number++
		rows = []string{strconv.Itoa(c.member.number)}
	}
	return ctquery.Answer{Rows: rows, Transaction: c.state}
}

func decodeNumber(answer ctquery.Answer) (ctquery.Status, error) {
	number, err := strconv.Atoi(answer.Rows[0])
	return ctquery.Status{Received: ctposition.Point{Term: 1, Position: ctposition.Position(number)}}, err
}

const (
	repeatingSeeds = 50
	callsPerSeed   = 30
)

// Guards against an older status, or the answer to another command, that control takes for
// the answer to a fence.
func TestStatusOfAnEarlierCommand(t *testing.T) {
	commands := []ctsuccession.Command{
		ctsuccession.Probe{}, ctsuccession.Probe{}, ctsuccession.Probe{},
		ctsuccession.Pause{Fence: 3}, ctsuccession.Resume{}, ctsuccession.StepDown{Fence: 3},
	}
	answered, dials := 0, 0
	for seed := range uint64(repeatingSeeds) {
		member := &repeatingMember{random: rand.New(rand.NewPCG(seed, 0))}
		client := &ctcontrol.PersistentClient{
			Opener: ctpools.Opener{Dialer: member, Clock: &ctclock.System{}}, DecodeStatus: decodeNumber,
		}
		choices := rand.New(rand.NewPCG(seed, 1))
		for range callsPerSeed {
			command := commands[choices.IntN(len(commands))]
			before := member.last()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			status, err := client.Call(ctx, ctserver.Announcement{Member: "m1"}, command)
			cancel()
			assert.NilError(t, err)
			answered++
			if int(status.Received.Position) <= before {
				t.Errorf("seed %d: %T got status %d, sent after %d", seed, command, status.Received.Position, before)
			}
		}
		dials += member.dials
	}
	t.Logf("%d answered, %d connections", answered, dials)
}
