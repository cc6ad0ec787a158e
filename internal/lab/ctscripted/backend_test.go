package ctscripted_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctscripted"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctbackend"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
)

var answer, status, confirmation = ctscripted.Answer, ctscripted.Status, ctscripted.Confirmation

// testTimeout limits the calls of a test, so that a fault can't make it hang.
const testTimeout = 10 * time.Second

// dial opens a connection to a new backend server and returns both ends.
func dial(t *testing.T) (*ctbackend.Conn, *ctscripted.Backend) {
	t.Helper()
	connection, b, err := tryDial(t)
	assert.NilError(t, err)
	return connection, b
}

// tryDial is dial, with messages that the server sends right behind its greeting.
func tryDial(t *testing.T, behind ...pgproto3.BackendMessage) (*ctbackend.Conn, *ctscripted.Backend, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	connection, b, err := ctscripted.Dial(ctx, behind...)
	t.Cleanup(b.Close)
	return connection, b, err
}

// query runs a statement within testTimeout.
func query(connection *ctbackend.Conn, text string) ([][]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return connection.Query(ctx, text)
}

// confirm confirms the answers so far within testTimeout.
func confirm(connection *ctbackend.Conn) error {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return connection.Confirm(ctx)
}

// assertDoubt checks that the connection is broken for the reason want.
func assertDoubt(t *testing.T, connection *ctbackend.Conn, err error, want ctbackend.Doubt) {
	t.Helper()
	assert.Assert(t, err != nil, "the statement succeeded")
	assert.Equal(t, connection.Doubt(), want)
	assert.Assert(t, connection.Broken())
}

// awaitArrival waits until what the backend has sent can be read by the client.
func awaitArrival() {
	time.Sleep(50 * time.Millisecond)
}

// TestUnaskedMessages guards against taking an answer that a backend server sends again for
// the answer to the next request.
func TestUnaskedMessages(t *testing.T) {
	t.Run("a repeated answer on an idle connection ends it", func(t *testing.T) {
		connection, b := dial(t)
		go b.Serve(answer("1"), answer("2"))
		_, err := query(connection, "SELECT 1")
		assert.NilError(t, err)
		b.Send(answer("1")...)
		awaitArrival()
		_, err = query(connection, "SELECT 2")
		assertDoubt(t, connection, err, ctbackend.DoubtUnasked)
	})
	t.Run("a repeated answer in the same packet ends it", func(t *testing.T) {
		connection, b := dial(t)
		go b.Serve(append(answer("1"), answer("1")...), answer("2"))
		_, err := query(connection, "SELECT 1")
		assert.NilError(t, err)
		_, err = query(connection, "SELECT 2")
		assertDoubt(t, connection, err, ctbackend.DoubtUnasked)
	})
	t.Run("an answer of another statement doesn't count as a reset", func(t *testing.T) {
		connection, b := dial(t)
		go b.Serve(answer("1"))
		_, err := query(connection, "DISCARD ALL")
		assertDoubt(t, connection, err, ctbackend.DoubtWrongAnswer)
	})
	t.Run("a bare ReadyForQuery is no answer", func(t *testing.T) {
		connection, b := dial(t)
		go b.Serve([]pgproto3.BackendMessage{&pgproto3.ReadyForQuery{TxStatus: 'I'}})
		_, err := query(connection, "SELECT 1")
		assertDoubt(t, connection, err, ctbackend.DoubtWrongAnswer)
	})
	t.Run("a statement of our own changes no transaction", func(t *testing.T) {
		connection, b := dial(t)
		go b.Serve([]pgproto3.BackendMessage{
			&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, &pgproto3.ReadyForQuery{TxStatus: 'T'},
		})
		_, err := query(connection, "SELECT 1")
		assertDoubt(t, connection, err, ctbackend.DoubtWrongAnswer)
	})
	for _, message := range []pgproto3.BackendMessage{
		&pgproto3.ParameterStatus{Name: "TimeZone", Value: "UTC"},
		&pgproto3.NoticeResponse{Message: "reloaded"},
		&pgproto3.NotificationResponse{Channel: "c"},
	} {
		t.Run("a message that may come at any time is passed over", func(t *testing.T) {
			connection, b := dial(t)
			go b.Serve(answer("2"))
			b.Send(message)
			awaitArrival()
			rows, err := query(connection, "SELECT 2")
			assert.NilError(t, err)
			assert.DeepEqual(t, rows, [][]string{{"2"}})
		})
	}
	t.Run("a repeated answer that comes for a request is found behind it", func(t *testing.T) {
		connection, b := dial(t)
		go b.Serve(answer("1"), append(answer("1"), answer("2")...), confirmation("1"))
		for range 2 {
			_, err := query(connection, "SELECT 1")
			assert.NilError(t, err)
		}
		assertDoubt(t, connection, confirm(connection), ctbackend.DoubtUnasked)
	})
	t.Run("a repeated answer that comes for a confirmation is found", func(t *testing.T) {
		connection, b := dial(t)
		go b.Serve(answer("1"), answer("1"))
		_, err := query(connection, "SELECT 1")
		assert.NilError(t, err)
		assertDoubt(t, connection, confirm(connection), ctbackend.DoubtUnconfirmed)
	})
	t.Run("a repeated confirmation confirms nothing", func(t *testing.T) {
		connection, b := dial(t)
		go b.Serve(confirmation("1"), answer("1"), confirmation("1"))
		assert.NilError(t, confirm(connection))
		_, err := query(connection, "SELECT 1")
		assert.NilError(t, err)
		assertDoubt(t, connection, confirm(connection), ctbackend.DoubtUnconfirmed)
	})
	t.Run("a message behind the greeting ends the connection", func(t *testing.T) {
		_, _, err := tryDial(t, answer("1")...)
		assert.ErrorContains(t, err, "behind its greeting")
	})
	t.Run("a parameter behind the greeting is passed over", func(t *testing.T) {
		_, _, err := tryDial(t, &pgproto3.ParameterStatus{Name: "TimeZone", Value: "UTC"})
		assert.NilError(t, err)
	})
	t.Run("a repeated status is not taken for a newer one", func(t *testing.T) {
		connection, b := dial(t)
		go b.Serve(status("10"), confirmation("1"), append(status("10"), status("20")...), confirmation("2"))
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		first, err := connection.Status(ctx)
		assert.NilError(t, err)
		assert.Equal(t, first.Received.Position, ctposition.Position(10))
		second, err := connection.Status(ctx)
		assert.Assert(t, err != nil, "%v", second)
	})
	t.Run("a request is not sent over a connection that the server has closed", func(t *testing.T) {
		connection, b := dial(t)
		b.Close()
		awaitArrival()
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		result, err := connection.Run(ctx, []byte("Q\x00\x00\x00\x05\x00"), nil)
		assert.Assert(t, err != nil && !result.Sent)
	})
}
