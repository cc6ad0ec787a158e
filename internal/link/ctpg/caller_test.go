package ctpg_test

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctstatement"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctpg"
)

// testTimeout bounds the talk of a test. It only ends runs that would never end.
const testTimeout = 30 * time.Second

// acceptResult is what Accept returned.
type acceptResult struct {
	caller *ctpg.Caller
	err    error
}

// startAccept starts Accept on one end of a connection and returns the other end.
func startAccept(t *testing.T) (net.Conn, <-chan acceptResult) {
	t.Helper()
	client, server := net.Pipe()
	assert.NilError(t, client.SetDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() { _ = client.Close() })
	result := make(chan acceptResult, 1)
	go func() {
		caller, err := ctpg.Accept(server, ctpg.Options{ProcessID: 1})
		if err != nil {
			_ = server.Close()
		}
		result <- acceptResult{caller: caller, err: err}
	}()
	return client, result
}

// send writes messages to the proxy's end.
func send(t *testing.T, client net.Conn, messages ...pgproto3.FrontendMessage) {
	t.Helper()
	var data []byte
	var err error
	for _, m := range messages {
		data, err = m.Encode(data)
		assert.NilError(t, err)
	}
	go func() { _, _ = client.Write(data) }()
}

func startupMessage(extra map[string]string) *pgproto3.StartupMessage {
	parameters := map[string]string{"user": "lab", "database": "fit-registry"}
	for name, value := range extra {
		parameters[name] = value
	}
	return &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters}
}

// startSession returns a caller whose session has started, and the near end.
func startSession(t *testing.T) (*ctpg.Caller, net.Conn) {
	t.Helper()
	client, result := startAccept(t)
	send(t, client, startupMessage(nil))
	r := <-result
	assert.NilError(t, r.err)
	return r.caller, client
}

// assertRefused checks that a start-up is answered with a fatal error.
func assertRefused(t *testing.T, client net.Conn, result <-chan acceptResult, wantText string) {
	t.Helper()
	message, err := pgproto3.NewFrontend(client, client).Receive()
	assert.NilError(t, err)
	response, ok := message.(*pgproto3.ErrorResponse)
	assert.Assert(t, ok, "%T", message)
	assert.Equal(t, response.Severity, "FATAL")
	assert.Assert(t, response.Hint != "", "the error names no remedy")
	r := <-result
	assert.ErrorContains(t, r.err, wantText)
}

func TestAccept(t *testing.T) {
	t.Run("takes the stated parameters", func(t *testing.T) {
		client, result := startAccept(t)
		send(t, client, startupMessage(map[string]string{
			ctpg.ParameterMaxAge: "2s", ctpg.ParameterReadOnly: "on", ctpg.ParameterToken: "x",
		}))
		r := <-result
		assert.NilError(t, r.err)
		assert.Equal(t, r.caller.Startup.MaxAge.Or(0), 2*time.Second)
		assert.Assert(t, r.caller.Startup.ReadOnly)
		assert.Equal(t, r.caller.Startup.Token, "x")
	})
	t.Run("declines encryption where it has none", func(t *testing.T) {
		client, result := startAccept(t)
		send(t, client, &pgproto3.SSLRequest{})
		var answer [1]byte
		_, err := client.Read(answer[:])
		assert.NilError(t, err)
		assert.Equal(t, answer[0], byte('N'))
		send(t, client, startupMessage(nil))
		assert.NilError(t, (<-result).err)
	})
	t.Run("tells a cancel from a session", func(t *testing.T) {
		client, result := startAccept(t)
		send(t, client, &pgproto3.CancelRequest{ProcessID: 7, SecretKey: []byte{0, 0, 0, 9}})
		r := <-result
		var cancel *ctpg.CancelError
		assert.Assert(t, errors.As(r.err, &cancel), "%v", r.err)
		assert.Equal(t, cancel.Key, ctpg.CancelKey{ProcessID: 7, Secret: 9})
	})
	for _, refused := range []struct {
		name, parameter, value, wantText string
	}{
		{"a parameter that would be lost", "search_path", "x", "search_path"},
		{"an age that can't be read", ctpg.ParameterMaxAge, "old", "max_age"},
		{"an encoding that is not carried", "client_encoding", "LATIN1", "LATIN1"},
		{"a group that is no name", "database", "Not A Name", "name"},
	} {
		t.Run("refuses "+refused.name, func(t *testing.T) {
			client, result := startAccept(t)
			send(t, client, startupMessage(map[string]string{refused.parameter: refused.value}))
			assertRefused(t, client, result, refused.wantText)
		})
	}
	t.Run("refuses a malformed start-up packet", func(t *testing.T) {
		client, result := startAccept(t)
		go func() { _, _ = client.Write([]byte{0, 0, 0, 9, 0, 9, 0, 0, 0}) }()
		assertRefused(t, client, result, "start-up packet")
	})
}

// nextRequest sends messages and returns the request that they make.
func nextRequest(t *testing.T, messages ...pgproto3.FrontendMessage) *ctpg.Request {
	t.Helper()
	caller, client := startSession(t)
	send(t, client, messages...)
	request, err := caller.Next()
	assert.NilError(t, err)
	return request
}

func TestNext(t *testing.T) {
	t.Run("classes a query", func(t *testing.T) {
		assert.Equal(t, nextRequest(t, &pgproto3.Query{String: "SELECT 1"}).Class, ctstatement.Select)
	})
	t.Run("classes an extended request by what it executes", func(t *testing.T) {
		request := nextRequest(t, &pgproto3.Parse{Name: "s", Query: "INSERT INTO t VALUES ($1)"},
			&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
		assert.Equal(t, request.Class, ctstatement.Write)
	})
	t.Run("takes a portal of an earlier request for a write", func(t *testing.T) {
		assert.Equal(t, nextRequest(t, &pgproto3.Execute{Portal: "p"}, &pgproto3.Sync{}).Class, ctstatement.Write)
	})
	t.Run("adds statements that a new way has not seen", func(t *testing.T) {
		caller, client := startSession(t)
		send(t, client, &pgproto3.Parse{Name: "s", Query: "SELECT 1"}, &pgproto3.Sync{})
		first, err := caller.Next()
		assert.NilError(t, err)
		caller.ResetPrepared()
		send(t, client, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{})
		second, err := caller.Next()
		assert.NilError(t, err)
		assert.Equal(t, second.Class, ctstatement.Select)
		parse := first.Payload[:len(first.Payload)-5]
		assert.DeepEqual(t, second.Payload[:len(parse)], parse)
	})
	t.Run("refuses a function call", func(t *testing.T) {
		caller, client := startSession(t)
		send(t, client, &pgproto3.FunctionCall{})
		_, err := caller.Next()
		assert.ErrorContains(t, err, "not carried")
	})
	t.Run("refuses a request over the limit", func(t *testing.T) {
		caller, client := startSession(t)
		go func() { _, _ = client.Write([]byte{'Q', 0x7f, 0xff, 0xff, 0xff}) }()
		_, err := caller.Next()
		assert.ErrorContains(t, err, "16 MiB")
	})
	t.Run("tells the end of the session", func(t *testing.T) {
		caller, client := startSession(t)
		send(t, client, &pgproto3.Terminate{})
		_, err := caller.Next()
		assert.Equal(t, err, ctpg.ErrTerminated)
	})
}

// FuzzStart checks that no bytes make the start of a connection or its first
// request panic or hang.
func FuzzStart(f *testing.F) {
	start, err := startupMessage(nil).Encode(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(start, []byte{'Q', 0, 0, 0, 13, 'S', 'E', 'L', 'E', 'C', 'T', ' ', '1', 0})
	f.Add(start, []byte{'P', 0, 0, 0, 4})
	f.Add([]byte{0, 0, 0, 8, 4, 210, 22, 47}, []byte{})
	f.Fuzz(func(_ *testing.T, start, rest []byte) {
		client, server := net.Pipe()
		go func() {
			_, _ = client.Write(append(append([]byte(nil), start...), rest...))
			_ = client.Close()
		}()
		go drain(client)
		caller, err := ctpg.Accept(server, ctpg.Options{})
		if err == nil {
			_, _ = caller.Next()
		}
		_ = server.Close()
	})
}

// drain reads what the proxy answers until the connection ends.
func drain(client net.Conn) {
	buffer := make([]byte, 4096)
	for {
		if _, err := client.Read(buffer); err != nil {
			return
		}
	}
}
