package ctcrowd

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctlonemember"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/platform"
	"github.com/cherviltrestle/cherviltrestle/platform/ctpeer"
)

const (
	// largeBytes is the size of a large text; its line is below the limit of 1 MiB.
	largeBytes = 900 << 10
	// farTooLargeBytes is the size of a text far over the limit.
	farTooLargeBytes = 8 << 20
	// pieceBytes is the size of the pieces in which a message is sent.
	pieceBytes = 16 << 10
	// stepTimeout bounds a step of a client. A client that can't go on keeps its connection.
	stepTimeout = 10 * time.Second
	// smallPieceBytes and slowPieces are the size and number of the pieces of a slow sender, and
	// slowDelay the time between them.
	smallPieceBytes = 512
	slowPieces      = 40
	slowDelay       = 50 * time.Millisecond
	// slowReads is the number of reads of a slow reader.
	slowReads = 12
	// bodyBytes is the size of a large body of an HTTP request, which is still legal.
	bodyBytes = 8<<20 - 1
	// frameHeader claims a frame of 20 MiB.
	frameHeader = "\x01\x40\x00\x00\x01"
)

// Behaviour is how the clients of a crowd misbehave. The types of this package are its only
// implementations.
type Behaviour interface {
	isBehaviour()
}

// HalfStartup sends a large part of a first message and stops.
type HalfStartup struct{}

// HalfMessage opens a session, sends a large part of a message and stops.
type HalfMessage struct{}

// LargeMessages sends large legal writes, in pieces if PieceBytes is not 0, and reads the answers.
type LargeMessages struct {
	Count, PieceBytes int
}

// TooLarge sends a message far over the limit.
type TooLarge struct{}

// Pipeline sends a number of reads of an item without reading the answers.
type Pipeline struct {
	Count int
	Item  string
}

// Values sets a number of large session values. If Read is set, it then reads, which sets the values up
// at the member.
type Values struct {
	Count int
	Read  bool
}

// PreparedStatements prepares a number of large statements.
type PreparedStatements struct {
	Count int
}

// SlowSender sends a large part of a message and then goes on in small pieces with delays, and
// stops before its end.
type SlowSender struct{}

// SlowReader asks for more large rows than the buffers of its connection hold, reads a few bytes and
// stops.
type SlowReader struct{}

// Idle opens a session and does nothing.
type Idle struct{}

// Body sends a large legal body to the control process. If Half is set, it stops before the end.
type Body struct {
	Half bool
}

// Silent connects and sends nothing.
type Silent struct{}

// HalfFrame sends a part of a frame that claims the maximum size.
type HalfFrame struct{}

func (HalfStartup) isBehaviour()        {}
func (HalfMessage) isBehaviour()        {}
func (LargeMessages) isBehaviour()      {}
func (TooLarge) isBehaviour()           {}
func (Pipeline) isBehaviour()           {}
func (Values) isBehaviour()             {}
func (PreparedStatements) isBehaviour() {}
func (SlowSender) isBehaviour()         {}
func (SlowReader) isBehaviour()         {}
func (Idle) isBehaviour()               {}
func (Body) isBehaviour()               {}
func (Silent) isBehaviour()             {}
func (HalfFrame) isBehaviour()          {}

// Crowd is a number of clients of one address.
type Crowd struct {
	Address   netip.AddrPort
	Size      int
	Behaviour Behaviour

	sockets []net.Conn
}

// Run connects all clients and waits until each of them has done its part or can't go on. Their
// connections stay open until Close.
func (c *Crowd) Run() {
	var group sync.WaitGroup
	for range c.Size {
		socket, err := net.DialTimeout("tcp4", c.Address.String(), stepTimeout)
		if err != nil {
			continue
		}
		c.sockets = append(c.sockets, socket)
		group.Go(func() { (&client{socket: socket, caller: ctpeer.NewCaller(socket)}).run(c.Behaviour) })
	}
	group.Wait()
}

// Open returns how many connections the other end has not closed.
func (c *Crowd) Open() int {
	open := 0
	for _, s := range c.sockets {
		_ = s.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := s.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
			open++
		}
	}
	return open
}

// Close closes the connections.
func (c *Crowd) Close() {
	for _, s := range c.sockets {
		_ = s.Close()
	}
}

// client is one client of a crowd.
type client struct {
	socket net.Conn
	caller *ctpeer.Caller
}

// run does what the behaviour says until the connection fails.
func (c *client) run(behaviour Behaviour) {
	switch b := behaviour.(type) {
	case HalfStartup:
		c.send("CONNECT "+strings.Repeat("d", largeBytes), 0)
	case Body:
		size := bodyBytes
		if b.Half {
			size -= pieceBytes
		}
		c.send(platform.ConfigRequestHeader(bodyBytes)+strings.Repeat(" ", size), pieceBytes)
	case HalfFrame:
		c.send(frameHeader+strings.Repeat("f", largeBytes), 0)
	case HalfRequest, ClaimedRequest, EndlessRequest, Statements, Requests, IdleRequests:
		c.runPostgreSQL(behaviour)
	case Silent:
	default:
		if c.open() {
			c.runSession(behaviour)
		}
	}
}

// runSession does what the behaviour says in an open session.
func (c *client) runSession(behaviour Behaviour) {
	switch b := behaviour.(type) {
	case HalfMessage:
		c.send(largeText("WRITE a"), 0)
	case LargeMessages:
		c.exchange(b.Count, b.PieceBytes, func(int) string { return "WRITE a" })
	case Values:
		c.exchange(b.Count, 0, func(i int) string { return fmt.Sprintf("SET v%d", i) })
		if b.Read && c.send(queryLine("READ item"), 0) {
			c.receive()
		}
	case PreparedStatements:
		c.exchange(b.Count, 0, func(i int) string { return fmt.Sprintf("PREPARE p%d READ", i) })
	case TooLarge:
		c.send("QUERY x WRITE a "+strings.Repeat("x", farTooLargeBytes), pieceBytes)
	case Pipeline:
		c.send(strings.Repeat(queryLine("READ "+b.Item), b.Count), pieceBytes)
	case SlowSender:
		c.sendSlowly()
	case SlowReader:
		if c.send(strings.Repeat(queryLine("READ "+ctlonemember.LargeItem), slowReads), 0) {
			_ = c.caller.SetReadDeadline(time.Now().Add(stepTimeout))
			_, _ = c.socket.Read(make([]byte, smallPieceBytes))
		}
	}
}

// exchange sends a number of large statements, each with the beginning that begin returns, and reads
// their answers.
func (c *client) exchange(count, piece int, begin func(i int) string) {
	for i := range count {
		if !c.send(queryLine(largeText(begin(i))), piece) || !c.receive() {
			return
		}
	}
}

// sendSlowly sends a large part of a message at once and some small pieces with delays.
func (c *client) sendSlowly() {
	if !c.send("QUERY x "+largeText("WRITE a"), 0) {
		return
	}
	for range slowPieces {
		time.Sleep(slowDelay)
		if !c.send(strings.Repeat("s", smallPieceBytes), 0) {
			return
		}
	}
}

// open opens the session and reports whether the proxy accepted it.
func (c *client) open() bool {
	if c.caller.SetReadDeadline(time.Now().Add(stepTimeout)) != nil ||
		!c.send("CONNECT "+string(database)+" crowd\r\n", 0) {
		return false
	}
	answer, err := c.caller.ReceiveStartup()
	return err == nil && answer.OK()
}

// receive reads an answer and reports whether it came.
func (c *client) receive() bool {
	if c.caller.SetReadDeadline(time.Now().Add(stepTimeout)) != nil {
		return false
	}
	_, err := c.caller.Receive()
	return err == nil
}

// send sends a text, in pieces if their size is not 0, and reports whether all was sent.
func (c *client) send(text string, piece int) bool {
	if piece == 0 {
		piece = len(text)
	}
	if c.socket.SetWriteDeadline(time.Now().Add(stepTimeout)) != nil {
		return false
	}
	for len(text) > 0 {
		n, err := c.socket.Write([]byte(text[:min(piece, len(text))]))
		if err != nil {
			return false
		}
		text = text[n:]
	}
	return true
}

// queryLine returns the line of a query with a text.
func queryLine(text string) string {
	return string(ctpeer.AppendQuery(nil, ctquery.ID("crowd"), text))
}

// largeText returns a statement of largeBytes that begins as given.
func largeText(begin string) string {
	return begin + " " + strings.Repeat("x", largeBytes)
}
