/*
Package ctscripted has a backend server that sends just what a test says, to test package ctbackend
with answers that come late, twice or not at all.

# Usage

	connection, backend, err := ctscripted.Dial(ctx)
	defer backend.Close()
	go backend.Serve(ctscripted.Answer("1"))
	rows, err := connection.Query(ctx, "SELECT 1")
	backend.Send(ctscripted.Answer("1")...)
*/
package ctscripted

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctbackend"
)

// Backend is the server's end of a connection. It encodes with the pgproto3 library, like
// package ctbackend.
type Backend struct {
	socket   net.Conn
	protocol *pgproto3.Backend
	// mutex guards the sending side of protocol.
	mutex sync.Mutex
}

// Dial opens a connection to a new backend server and returns both ends. The server sends the
// messages right behind its greeting.
func Dial(ctx context.Context, behind ...pgproto3.BackendMessage) (*ctbackend.Conn, *Backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen")
	}
	defer func() { _ = listener.Close() }()
	accepted := make(chan *Backend, 1)
	go accept(listener, accepted, behind)
	target := ctbackend.Target{Database: "d", User: "u", Address: netip.MustParseAddrPort(listener.Addr().String())}
	connection, err := ctbackend.Dial(ctx, target)
	return connection, <-accepted, err
}

// accept accepts one connection and starts its session.
func accept(listener net.Listener, accepted chan<- *Backend, behind []pgproto3.BackendMessage) {
	socket, err := listener.Accept()
	if err != nil {
		return
	}
	b := &Backend{socket: socket, protocol: pgproto3.NewBackend(socket, socket)}
	_, _ = b.protocol.ReceiveStartupMessage()
	greeting := []pgproto3.BackendMessage{
		&pgproto3.AuthenticationOk{}, &pgproto3.BackendKeyData{ProcessID: 7, SecretKey: []byte{0, 0, 0, 1}},
		&pgproto3.ReadyForQuery{TxStatus: 'I'},
	}
	b.Send(append(greeting, behind...)...)
	accepted <- b
}

// Close closes the connection.
func (b *Backend) Close() {
	_ = b.socket.Close()
}

// Send sends messages to the client.
func (b *Backend) Send(messages ...pgproto3.BackendMessage) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, m := range messages {
		b.protocol.Send(m)
	}
	_ = b.protocol.Flush()
}

// Serve answers each request with the next answer. After the last one, it ignores requests.
func (b *Backend) Serve(answers ...[]pgproto3.BackendMessage) {
	for _, a := range answers {
		if b.receiveRequest() != nil {
			return
		}
		b.Send(a...)
	}
}

// receiveRequest receives a simple query, or the messages up to a Sync.
func (b *Backend) receiveRequest() error {
	for {
		message, err := b.protocol.Receive()
		if err != nil {
			return err
		}
		switch message.(type) {
		case *pgproto3.Query, *pgproto3.Sync:
			return nil
		}
	}
}

// Answer returns the answer to a SELECT of one row.
func Answer(value string) []pgproto3.BackendMessage {
	return []pgproto3.BackendMessage{
		&pgproto3.DataRow{Values: [][]byte{[]byte(value)}},
		&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")},
		&pgproto3.ReadyForQuery{TxStatus: 'I'},
	}
}

// Status returns an answer to the status query with a received position.
func Status(received string) []pgproto3.BackendMessage {
	var columns [][]byte
	for _, column := range []string{"replica", "3", received, "10", "0", "1"} {
		columns = append(columns, []byte(column))
	}
	messages := Answer("")
	messages[0] = &pgproto3.DataRow{Values: columns}
	return messages
}

// Confirmation returns the answer to the confirmation with the number.
func Confirmation(number string) []pgproto3.BackendMessage {
	set := &pgproto3.CommandComplete{CommandTag: []byte("SET")}
	return append([]pgproto3.BackendMessage{set}, Answer("cherviltrestle_confirmation-"+number)...)
}
