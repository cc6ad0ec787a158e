package ctpg

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
)

// MaxRequestBytes is the largest request of a caller, in bytes.
const MaxRequestBytes = 16 << 20

// The times of a connection.
const (
	// startupTimeout bounds the start of a connection.
	startupTimeout = 10 * time.Second
	// closeTimeout bounds the wait for a caller to close its side.
	closeTimeout = time.Second
)

// The parameters that the proxy states at the start of a session.
var sessionParameters = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "16.0 (cherviltrestle)"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
	{Name: "TimeZone", Value: "UTC"},
}

// CancelKey is what a caller presents to cancel a request.
type CancelKey struct {
	ProcessID uint32
	Secret    uint32
}

// Options are the settings of Accept.
type Options struct {
	// TLS encrypts connections of callers that ask for it. Nil refuses to.
	TLS *tls.Config
	// ProcessID is shown to the caller as the number of its server process.
	ProcessID uint32
}

// Caller is a caller's connection. One goroutine reads from it and writes to
// it.
type Caller struct {
	Startup   Startup
	CancelKey CancelKey

	socket     net.Conn
	protocol   *pgproto3.Backend
	statements statements
}

// CancelError is returned by Accept as an error where the connection asked
// for a cancel and nothing else.
type CancelError struct {
	Key CancelKey
}

// Error describes the cancellation.
func (c *CancelError) Error() string {
	return "the connection asked for a cancel"
}

// Accept performs the start of a connection up to the start-up packet. A
// malformed start is answered with an error before Accept returns one.
func Accept(socket net.Conn, options Options) (*Caller, error) {
	_ = socket.SetDeadline(time.Now().Add(startupTimeout))
	c := &Caller{socket: socket}
	c.attach(socket)
	message, err := c.negotiate(options)
	if err != nil {
		return nil, err
	}
	startup, err := parseStartup(message.Parameters)
	if err != nil {
		c.SendFatal(ctoutcome.SQLStateProtocolViolation, err)
		return nil, err
	}
	secret, err := newSecret()
	if err != nil {
		return nil, err
	}
	c.Startup = startup
	c.CancelKey = CancelKey{ProcessID: options.ProcessID, Secret: secret}
	return c, nil
}

func (c *Caller) attach(socket net.Conn) {
	c.socket = socket
	c.protocol = pgproto3.NewBackend(socket, socket)
	c.protocol.SetMaxBodyLen(MaxRequestBytes)
}

// negotiate answers requests for encryption until the start-up packet comes.
func (c *Caller) negotiate(options Options) (*pgproto3.StartupMessage, error) {
	for {
		message, err := c.protocol.ReceiveStartupMessage()
		if err != nil {
			return nil, c.rejectMalformed(err)
		}
		switch m := message.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.CancelRequest:
			return nil, newCancelError(m)
		case *pgproto3.SSLRequest:
			if err := c.startTLS(options.TLS); err != nil {
				return nil, err
			}
		default:
			if err := c.declineEncryption(); err != nil {
				return nil, err
			}
		}
	}
}

func (c *Caller) rejectMalformed(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.Wrap(err, "read the start-up packet")
	}
	typed := cterror.Wrap(cterror.Invalid, err, "read the start-up packet",
		"connect with a PostgreSQL client of protocol 3")
	c.SendFatal(ctoutcome.SQLStateProtocolViolation, typed)
	return typed
}

func newCancelError(m *pgproto3.CancelRequest) error {
	key := CancelKey{ProcessID: m.ProcessID}
	if len(m.SecretKey) == 4 {
		key.Secret = binary.BigEndian.Uint32(m.SecretKey)
	}
	return &CancelError{Key: key}
}

// startTLS answers a request for TLS and performs the handshake.
func (c *Caller) startTLS(config *tls.Config) error {
	if config == nil {
		return c.declineEncryption()
	}
	if _, err := c.socket.Write([]byte{'S'}); err != nil {
		return errors.Wrap(err, "accept encryption")
	}
	encrypted := tls.Server(c.socket, config)
	if err := encrypted.Handshake(); err != nil {
		return errors.Wrap(err, "encrypt the caller's connection")
	}
	c.attach(encrypted)
	return nil
}

func (c *Caller) declineEncryption() error {
	_, err := c.socket.Write([]byte{'N'})
	return errors.Wrap(err, "decline encryption")
}

// FinishStartup ends the start of the session: it tells the caller that it may ask.
func (c *Caller) FinishStartup(token string) error {
	c.protocol.Send(&pgproto3.AuthenticationOk{})
	for i := range sessionParameters {
		c.protocol.Send(&sessionParameters[i])
	}
	if token != "" {
		c.protocol.Send(&pgproto3.ParameterStatus{Name: ParameterToken, Value: token})
	}
	secret := binary.BigEndian.AppendUint32(nil, c.CancelKey.Secret)
	c.protocol.Send(&pgproto3.BackendKeyData{ProcessID: c.CancelKey.ProcessID, SecretKey: secret})
	c.protocol.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if err := c.protocol.Flush(); err != nil {
		return errors.Wrap(err, "welcome the caller")
	}
	return errors.Wrap(c.socket.SetDeadline(time.Time{}), "clear the deadline")
}

// Interrupt makes a Next that waits return at once with an error.
func (c *Caller) Interrupt() {
	_ = c.socket.SetReadDeadline(time.Unix(1, 0))
}

// Close ends the connection once the caller has closed its side, or after a
// while. Closing at once would make the caller's machine drop the last message
// where a request of the caller is still on its way.
func (c *Caller) Close() {
	_ = c.socket.SetDeadline(time.Now().Add(closeTimeout))
	if halfCloser, ok := c.socket.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
		_, _ = io.Copy(io.Discard, c.socket)
	}
	_ = c.socket.Close()
}

func newSecret() (uint32, error) {
	var secret [4]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return 0, errors.Wrap(err, "choose a cancel key")
	}
	return binary.BigEndian.Uint32(secret[:]), nil
}
