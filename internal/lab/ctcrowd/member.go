package ctcrowd

import (
	"net"
	"strings"

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

// point is the member's position, which never changes.
var point = ctposition.Point{Term: 3, Position: 1}

// member is the stand-in member, a primary that keeps nothing.
type member struct {
	listener net.Listener
	// slots has an entry for each statement that runs.
	slots chan struct{}
}

func newMember(listener net.Listener) *member {
	return &member{listener: listener, slots: make(chan struct{}, memberSlots)}
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
	if conn.Write(ctpeer.AppendReady(nil, ctquery.TransactionNone, point)) != nil {
		return
	}
	for {
		query, err := conn.ReadQuery()
		if err != nil {
			return
		}
		m.slots <- struct{}{}
		err = conn.Write(ctpeer.AppendAnswer(nil, answerOf(query)))
		<-m.slots
		if err != nil {
			return
		}
	}
}

// answerOf returns the answer to a query.
func answerOf(query ctpeer.Query) ctpeer.Answer {
	answer := ctpeer.Answer{Point: point}
	switch s := query.Statement.(type) {
	case ctpeer.Read:
		answer.Rows, answer.Proof = []string{"row"}, "proof"
		if s.Item == largeItem {
			answer.Rows[0] = strings.Repeat("r", largeRowBytes)
		}
	case ctpeer.Write, ctpeer.Execute, ctpeer.Commit:
		answer.Proof = "proof"
	case ctpeer.ReadStatus, ctpeer.Pause, ctpeer.Resume, ctpeer.StepDown:
		answer.Rows = []string{ctpeer.FormatStatus(ctquery.Status{
			Role: ctserver.RolePrimary, Term: point.Term, Received: point,
		})}
	}
	return answer
}
