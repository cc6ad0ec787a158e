package ctcrowd

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
	// memberSlots is how many statements the member runs at once.
	memberSlots = 5
	// largeItem is the item whose read returns one row of largeRowBytes.
	largeItem     = "large"
	largeRowBytes = 900 << 10
)

// term is the member's term.
const term ctposition.Term = 3

// member is the stand-in member, a primary that keeps nothing but its position.
type member struct {
	listener net.Listener
	position atomic.Uint64
	// proofs counts the proofs. The proxy doubts an answer whose proof is that of an earlier one.
	proofs atomic.Uint64
	// slots has an entry for each statement that runs.
	slots chan struct{}
}

func newMember(listener net.Listener) *member {
	m := &member{listener: listener, slots: make(chan struct{}, memberSlots)}
	m.position.Add(1)
	return m
}

func (m *member) point() ctposition.Point {
	return ctposition.Point{Term: term, Position: ctposition.Position(m.position.Load())}
}

// newProof returns the proof of an answer.
func (m *member) newProof() string {
	return fmt.Sprintf("proof-%d", m.proofs.Add(1))
}

// serve accepts connections until the listener is closed.
func (m *member) serve() {
	for {
		socket, err := m.listener.Accept()
		if err != nil {
			return
		}
		go m.serveConnection(socket)
	}
}

func (m *member) serveConnection(socket net.Conn) {
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
func (m *member) answerTo(query ctpeer.Query) ctpeer.Answer {
	var answer ctpeer.Answer
	switch s := query.Statement.(type) {
	case ctpeer.Read:
		answer.Rows, answer.Proof = []string{"row"}, m.newProof()
		if s.Item == largeItem {
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
