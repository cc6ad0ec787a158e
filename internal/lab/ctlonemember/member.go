/*
Package ctlonemember has a stand-in for a database group of one member: a primary that keeps nothing but its
position. It speaks through package ctpeer, which shares no code with the product.

# Usage

	go ctlonemember.New(listener).Serve()
*/
package ctlonemember

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/platform/ctpeer"
)

const (
	// Slots is how many statements the member runs at once.
	Slots = 5
	// LargeItem is the item whose read returns one row of largeRowBytes.
	LargeItem     = "large"
	largeRowBytes = 900 << 10
)

// term is the member's term.
const term ctposition.Term = 3

// Member is the stand-in. Several goroutines may connect to it.
type Member struct {
	listener net.Listener
	position atomic.Uint64
	// proofs counts the proofs. The proxy doubts an answer whose proof is that of an earlier one.
	proofs atomic.Uint64
	// slots has an entry for each statement that runs.
	slots chan struct{}
}

// New returns a member that accepts connections from a listener once Serve is called.
func New(listener net.Listener) *Member {
	m := &Member{listener: listener, slots: make(chan struct{}, Slots)}
	m.position.Add(1)
	return m
}

func (m *Member) point() ctposition.Point {
	return ctposition.Point{Term: term, Position: ctposition.Position(m.position.Load())}
}

// newProof returns the proof of an answer.
func (m *Member) newProof() string {
	return fmt.Sprintf("proof-%d", m.proofs.Add(1))
}

// Serve accepts connections until the listener is closed.
func (m *Member) Serve() {
	for {
		socket, err := m.listener.Accept()
		if err != nil {
			return
		}
		go m.serveConnection(socket)
	}
}

func (m *Member) serveConnection(socket net.Conn) {
	defer func() { _ = socket.Close() }()
	conn := ctpeer.Accept(socket)
	if _, err := conn.ReadStartup(); err != nil {
		return
	}
	if conn.Write(ctpeer.AppendReady(nil, ctquery.TransactionNone, m.point())) != nil {
		return
	}
	for {
		query, err := conn.ReadQuery()
		if err != nil {
			return
		}
		m.slots <- struct{}{}
		err = conn.Write(ctpeer.AppendAnswer(nil, m.answerTo(query)))
		<-m.slots
		if err != nil {
			return
		}
	}
}

// answerTo returns the answer to a query.
func (m *Member) answerTo(query ctpeer.Query) ctpeer.Answer {
	var answer ctpeer.Answer
	switch s := query.Statement.(type) {
	case ctpeer.Read:
		answer.Rows, answer.Proof = []string{"row"}, m.newProof()
		if s.Item == LargeItem {
			answer.Rows[0] = strings.Repeat("r", largeRowBytes)
		}
	case ctpeer.Write, ctpeer.Execute, ctpeer.Commit:
		answer.Proof = m.newProof()
		m.position.Add(1)
	case ctpeer.ReadStatus, ctpeer.Pause, ctpeer.Resume, ctpeer.StepDown:
		answer.Rows = []string{ctpeer.FormatStatus(ctquery.Status{
			Role: ctserver.RolePrimary, Term: term, Received: m.point(),
		})}
	}
	answer.Point = m.point()
	return answer
}
