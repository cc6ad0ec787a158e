package ctpg

import (
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// shortTimeout is a timeout that a test lets pass.
const shortTimeout = 10 * time.Millisecond

// recordingMeter records the charges, and denies those over a limit.
type recordingMeter struct {
	limit   int
	charges []int
}

// ChargeRequest grants what is not over the limit.
func (m *recordingMeter) ChargeRequest(bytes int) bool {
	m.charges = append(m.charges, bytes)
	return bytes <= m.limit
}

// newMeteredCaller returns a caller in a session and its end of the connection.
func newMeteredCaller(t *testing.T, meter *recordingMeter) (*Caller, net.Conn) {
	t.Helper()
	client, server := net.Pipe()
	t.Cleanup(func() { _ = client.Close(); _ = server.Close() })
	startup := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u", "database": "d"},
	}
	write(t, client, startup, 0)
	c, err := Accept(server, Options{Meter: meter})
	assert.NilError(t, err)
	c.inSession = true
	assert.NilError(t, server.SetDeadline(time.Time{}))
	return c, client
}

// write sends a message without its last bytes in the background.
func write(t *testing.T, client net.Conn, message pgproto3.FrontendMessage, missing int) {
	t.Helper()
	data, err := message.Encode(nil)
	assert.NilError(t, err)
	go func() { _, _ = client.Write(data[:len(data)-missing]) }()
}

// TestMeteredRequests guards against requests that are allocated without a charge, charges that stay, and
// requests that never end.
func TestMeteredRequests(t *testing.T) {
	large := &pgproto3.Query{String: strings.Repeat("x", 10*uncountedBytes)}
	small := &pgproto3.Query{String: "SELECT 1"}
	t.Run("a large request is charged until the next one", func(t *testing.T) {
		meter := &recordingMeter{limit: MaxRequestBytes}
		c, client := newMeteredCaller(t, meter)
		write(t, client, large, 0)
		_, err := c.NextRequest()
		assert.NilError(t, err)
		write(t, client, small, 0)
		_, err = c.NextRequest()
		assert.NilError(t, err)
		assert.DeepEqual(t, meter.charges, []int{headerBytes + len(large.String) + 1, 0})
	})
	t.Run("the claimed length is charged before the request arrives", func(t *testing.T) {
		c, client := newMeteredCaller(t, &recordingMeter{limit: uncountedBytes})
		write(t, client, large, len(large.String))
		_, err := c.NextRequest()
		assert.Equal(t, cterror.KindOf(err), cterror.Exhausted)
	})
	t.Run("messages without an end are charged together", func(t *testing.T) {
		c, client := newMeteredCaller(t, &recordingMeter{limit: 2 * uncountedBytes})
		go func() {
			data, _ := (&pgproto3.Parse{Query: strings.Repeat("x", uncountedBytes)}).Encode(nil)
			for range 3 {
				_, _ = client.Write(data)
			}
		}()
		_, err := c.NextRequest()
		assert.Equal(t, cterror.KindOf(err), cterror.Exhausted)
	})
	t.Run("a request that does not end", func(t *testing.T) {
		for _, missing := range []int{1, len(large.String), len(large.String) + 3} {
			c, client := newMeteredCaller(t, &recordingMeter{limit: MaxRequestBytes})
			c.requestTimeout = shortTimeout
			write(t, client, large, missing)
			_, err := c.NextRequest()
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		}
	})
	t.Run("a session that idles for longer is not limited", func(t *testing.T) {
		c, client := newMeteredCaller(t, &recordingMeter{limit: MaxRequestBytes})
		c.requestTimeout = shortTimeout
		for range 2 {
			time.AfterFunc(5*shortTimeout, func() { write(t, client, small, 0) })
			_, err := c.NextRequest()
			assert.NilError(t, err)
		}
	})
	t.Run("an interrupt is not undone by a request that begins", func(t *testing.T) {
		c, client := newMeteredCaller(t, &recordingMeter{limit: MaxRequestBytes})
		c.Interrupt()
		write(t, client, large, 1)
		_, err := c.NextRequest()
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	})
}

// TestStalledReader guards against a write that waits forever for a caller that stopped reading.
func TestStalledReader(t *testing.T) {
	c, _ := newMeteredCaller(t, &recordingMeter{})
	c.writer.timeout = shortTimeout
	assert.ErrorIs(t, c.Relay([]byte("answer")), os.ErrDeadlineExceeded)
}
