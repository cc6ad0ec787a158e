package ctrawmember

import (
	"io"
	"sync"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
)

// answerBuffer is how many answers of most members may wait to be received.
const answerBuffer = 4096

// conn is the part of a connection that all members share.
type conn struct {
	answers chan ctquery.Answer
	closed  chan struct{}
	once    sync.Once
}

func newConn(buffered int) *conn {
	return &conn{answers: make(chan ctquery.Answer, buffered), closed: make(chan struct{})}
}

// Receive returns the next answer. It returns io.EOF once the connection is closed.
func (c *conn) Receive() (ctquery.Answer, error) {
	select {
	case answer := <-c.answers:
		return answer, nil
	case <-c.closed:
		return ctquery.Answer{}, io.EOF
	}
}

// Close closes the connection.
func (c *conn) Close() {
	c.once.Do(func() { close(c.closed) })
}

// proven returns the success of a query, with a proof if its statement has one.
func proven(query ctquery.Query) ctquery.Answer {
	if query.ID == "" {
		return ctquery.Answer{}
	}
	return ctquery.Answer{Proof: ProofOf(query.ID)}
}

// ProofOf returns the proof of the success of a query.
func ProofOf(id ctquery.ID) string {
	return "proof of " + string(id)
}
