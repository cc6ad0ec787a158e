package ctproof

import (
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// extended sends messages of the extended protocol with a Sync behind them, and returns the
// answer's messages as lines.
func (r *rawSession) extended(t *testing.T, messages ...pgproto3.FrontendMessage) []string {
	t.Helper()
	for _, m := range messages {
		r.protocol.Send(m)
	}
	r.protocol.Send(&pgproto3.Sync{})
	assert.NilError(t, r.protocol.Flush())
	return r.readUntilReady(t)
}

// parseRead returns a Parse that prepares the read of a key under the name s.
func parseRead(key string) *pgproto3.Parse {
	return &pgproto3.Parse{Name: "s", Query: "SELECT value FROM charts WHERE key = '" + key + "'"}
}

// assertPreparedRead executes the statement s and checks that it reads the row of the key,
// and that the answer has no message too many.
func assertPreparedRead(t *testing.T, session *rawSession, key string) {
	t.Helper()
	lines := session.extended(t, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{})
	want := "*pgproto3.BindComplete\nDataRow text of " + key + "\nCommandComplete SELECT 1\nReadyForQuery I"
	assert.Equal(t, strings.Join(lines, "\n"), want)
}

// startPrepared starts a fleet with a row for each key, and two sessions that have prepared the
// reads of k1 and k2 under one name.
func startPrepared(t *testing.T) (first, second *rawSession) {
	t.Helper()
	fleet := start(t, smallFleet())
	writer := open(t, fleet.Proxies[0], nil)
	for key := 1; key <= 3; key++ {
		mustRun(t, writer, fmt.Sprintf("INSERT INTO charts (key, value) VALUES ('k%d', 'text of k%d')", key, key))
	}
	assert.NilError(t, fleet.AwaitReady())
	first, second = dialRaw(t, fleet.Proxies[0]), dialRaw(t, fleet.Proxies[0])
	first.extended(t, parseRead("k1"))
	second.extended(t, parseRead("k2"))
	return first, second
}

// TestPreparedStatements guards against running a statement of another shape than the one that
// the session was told is prepared under the name: sessions share the connections to members.
// The messages are decoded by the pgproto3 library, as in the proxies.
func TestPreparedStatements(t *testing.T) {
	first, second := startPrepared(t)
	t.Run("of two sessions with one name", func(t *testing.T) {
		for range 3 {
			assertPreparedRead(t, first, "k1")
			assertPreparedRead(t, second, "k2")
		}
	})
	t.Run("behind a preparation that failed", func(t *testing.T) {
		lines := first.extended(t, &pgproto3.Parse{Name: "bad", Query: "SELEKT"}, parseRead("k3"))
		assert.Assert(t, strings.HasPrefix(lines[0], "ErrorResponse ERROR"), "%v", lines)
		assertPreparedRead(t, first, "k1")
	})
	t.Run("closed and prepared at once", func(t *testing.T) {
		first.extended(t, &pgproto3.Close{ObjectType: 'S', Name: "s"}, parseRead("k3"))
		assertPreparedRead(t, first, "k3")
		assertPreparedRead(t, second, "k2")
	})
}
