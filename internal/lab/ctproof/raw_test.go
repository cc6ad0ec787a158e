package ctproof

import (
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
)

// rawSession is a session that gives access to the individual protocol messages.
type rawSession struct {
	socket   net.Conn
	protocol *pgproto3.Frontend
	// processID and secretKey identify the session in a cancel request.
	processID uint32
	secretKey []byte
}

// dialRaw opens a session and reads the messages up to the first ReadyForQuery. The
// session is closed at the end of the test.
func dialRaw(t *testing.T, proxy *ctfleet.Process) *rawSession {
	t.Helper()
	socket, err := net.Dial("tcp", proxy.Listen.String())
	assert.NilError(t, err)
	assert.NilError(t, socket.SetDeadline(time.Now().Add(callTimeout)))
	r := &rawSession{socket: socket, protocol: pgproto3.NewFrontend(socket, socket)}
	t.Cleanup(r.close)
	r.protocol.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "lab", "database": group},
	})
	assert.NilError(t, r.protocol.Flush())
	r.readUntilReady(t)
	return r
}

// query sends a Query message and returns the answer's messages as lines.
func (r *rawSession) query(t *testing.T, text string) []string {
	t.Helper()
	r.protocol.Send(&pgproto3.Query{String: text})
	assert.NilError(t, r.protocol.Flush())
	return r.readUntilReady(t)
}

// readUntilReady reads messages up to a ReadyForQuery or a fatal error, and returns
// them as lines. It stores the values of BackendKeyData, which differ from run to run,
// and leaves that message out of the lines.
func (r *rawSession) readUntilReady(t *testing.T) []string {
	t.Helper()
	var lines []string
	for {
		message, err := r.protocol.Receive()
		assert.NilError(t, err)
		if key, ok := message.(*pgproto3.BackendKeyData); ok {
			r.processID, r.secretKey = key.ProcessID, append([]byte(nil), key.SecretKey...)
			continue
		}
		lines = append(lines, formatMessage(message))
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

func (r *rawSession) close() {
	_ = r.socket.Close()
}
