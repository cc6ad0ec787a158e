package ctproof

import (
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
)

// raw is a session on the level of messages.
type raw struct {
	socket   net.Conn
	protocol *pgproto3.Frontend
	// process and secret are what a cancel of the session presents.
	process uint32
	secret  []byte
}

// dialRaw opens a session and reads its start.
func dialRaw(t *testing.T, proxy *ctfleet.Process) *raw {
	t.Helper()
	socket, err := net.Dial("tcp", proxy.Listen.String())
	assert.NilError(t, err)
	assert.NilError(t, socket.SetDeadline(time.Now().Add(callTime)))
	r := &raw{socket: socket, protocol: pgproto3.NewFrontend(socket, socket)}
	t.Cleanup(r.close)
	r.protocol.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "lab", "database": group},
	})
	assert.NilError(t, r.protocol.Flush())
	r.read(t)
	return r
}

// ask sends a Query and returns the messages of its answer as lines.
func (r *raw) ask(t *testing.T, text string) []string {
	t.Helper()
	r.protocol.Send(&pgproto3.Query{String: text})
	assert.NilError(t, r.protocol.Flush())
	return r.read(t)
}

// read reads messages up to a ReadyForQuery or a fatal error.
func (r *raw) read(t *testing.T) []string {
	t.Helper()
	var lines []string
	for {
		message, err := r.protocol.Receive()
		assert.NilError(t, err)
		if key, ok := message.(*pgproto3.BackendKeyData); ok {
			r.process, r.secret = key.ProcessID, append([]byte(nil), key.SecretKey...)
			continue
		}
		lines = append(lines, show(message))
		switch m := message.(type) {
		case *pgproto3.ReadyForQuery:
			return lines
		case *pgproto3.ErrorResponse:
			if m.Severity == "FATAL" {
				return lines
			}
		}
	}
}

func (r *raw) close() {
	_ = r.socket.Close()
}
