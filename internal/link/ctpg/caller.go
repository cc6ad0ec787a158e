package ctpg

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctoutcome"
)

// MaxRequestBytes is the size limit of a caller's request.
const MaxRequestBytes = 16 << 20

const (
	// startupTimeout limits the time from Accept to the end of FinishStartup.
	startupTimeout = 10 * time.Second
	// closeTimeout limits how long Close waits for the caller to close its side.
	closeTimeout = time.Second
)

// sessionParameters are the parameters that FinishStartup reports to every caller.
var sessionParameters = []pgproto3.ParameterStatus{
	{Name: "server_version", Value: "16.0 (cherviltrestle)"},
	{Name: "server_encoding", Value: "UTF8"},
	{Name: "client_encoding", Value: "UTF8"},
	{Name: "DateStyle", Value: "ISO, MDY"},
	{Name: "integer_datetimes", Value: "on"},
	{Name: "standard_conforming_strings", Value: "on"},
	{Name: "TimeZone", Value: "UTC"},
}

// CancelKey identifies the session whose request a CancelRequest is to cancel. The
// caller receives it at the start of the session.
type CancelKey struct {
	ProcessID uint32
	Secret    uint32
}

// Options are the settings of Accept.
type Options struct {
	// TLS configures encryption for callers that request it. If it is nil, requests
	// for encryption are declined.
	TLS *tls.Config
	// ProcessID is the process ID in the session's CancelKey.
	ProcessID uint32
	// Meter limits what requests hold. If it is nil, there is no limit.
	Meter Meter
}

// Caller is the connection of a caller. It belongs to one goroutine; only Interrupt
// may be called from others.
type Caller struct {
	Startup   Startup
	CancelKey CancelKey

	socket     net.Conn
	protocol   *pgproto3.Backend
	reader     *meteredReader
	writer     deadlineWriter
	meter      Meter
	statements statements
	// inSession reports that FinishStartup was called, so that requests have requestTimeout each.
	inSession      bool
	requestTimeout time.Duration
	// mutex guards interrupted, which is set by Interrupt, and the read deadline afterwards.
	mutex       sync.Mutex
	interrupted bool
}

// CancelError is the error that Accept returns for a connection that sent a
// CancelRequest and is therefore not a session.
type CancelError struct {
	Key CancelKey
}

// Error describes the cancellation.
func (c *CancelError) Error() string {
	return "the connection sent a cancel request"
}

// Accept reads the first messages of a connection, up to the start-up packet. It
// returns a CancelError for a cancel request. If the start is malformed, it sends
// the caller an error before it returns. Accept doesn't close the socket.
func Accept(socket net.Conn, options Options) (*Caller, error) {
	_ = socket.SetDeadline(time.Now().Add(startupTimeout))
	c := &Caller{meter: options.Meter, requestTimeout: requestTimeout}
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

// Refuse sends a fatal error over a connection that Accept is not called for.
func Refuse(socket net.Conn, state ctoutcome.SQLState, err error) {
	c := &Caller{}
	c.attach(socket)
	c.SendFatal(state, err)
}

// attach sets the connection to read from and write to, plain or encrypted.
func (c *Caller) attach(socket net.Conn) {
	c.socket = socket
	c.reader = &meteredReader{source: socket, meter: c.meter, onBegin: c.beginRequest}
	c.writer = deadlineWriter{socket: socket, timeout: writeTimeout}
	c.protocol = pgproto3.NewBackend(c.reader, c.writer)
	c.protocol.SetMaxBodyLen(MaxRequestBytes)
}

// negotiate answers requests for encryption until it receives the start-up packet
// or a cancel request.
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

// rejectMalformed reports a malformed first message to the caller, unless the
// connection ended, and returns the error of Accept.
func (c *Caller) rejectMalformed(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.Wrap(err, "read the start-up packet")
	}
	typed := cterror.Wrap(cterror.Invalid, err, "read the start-up packet",
		"connect with a PostgreSQL client of protocol 3")
	c.SendFatal(ctoutcome.SQLStateProtocolViolation, typed)
	return typed
}

// newCancelError returns the CancelError of a cancel request. A secret that is not
// four bytes long becomes 0.
func newCancelError(m *pgproto3.CancelRequest) error {
	key := CancelKey{ProcessID: m.ProcessID}
	if len(m.SecretKey) == 4 {
		key.Secret = binary.BigEndian.Uint32(m.SecretKey)
	}
	return &CancelError{Key: key}
}

// startTLS accepts a request for TLS and performs the handshake. If config is nil,
// it declines the request.
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

// declineEncryption answers a request for encryption with a refusal. The caller may
// then go on without encryption.
func (c *Caller) declineEncryption() error {
	_, err := c.socket.Write([]byte{'N'})
	return errors.Wrap(err, "decline encryption")
}

// FinishStartup completes the start of the session: it sends AuthenticationOk, the
// session's parameters, the CancelKey and ReadyForQuery. If token is not empty, it is
// sent as ParameterToken. FinishStartup also removes the deadline that Accept set.
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
		return errors.Wrap(err, "finish the start-up")
	}
	c.inSession = true
	return errors.Wrap(c.socket.SetDeadline(time.Time{}), "clear the deadline")
}

// Interrupt makes NextRequest return at once with an error. Any goroutine may call it.
func (c *Caller) Interrupt() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.interrupted = true
	_ = c.socket.SetReadDeadline(time.Unix(1, 0))
}

// Close closes the sending side, waits up to closeTimeout for the caller to close
// its side, and then closes the connection. Without the wait, a request in flight
// could reach a closed socket. The reset that follows would make the caller's system
// drop the last message.
func (c *Caller) Close() {
	_ = c.socket.SetDeadline(time.Now().Add(closeTimeout))
	if halfCloser, ok := c.socket.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
		_, _ = io.Copy(io.Discard, c.socket)
	}
	_ = c.socket.Close()
}

// newSecret returns a random secret for a CancelKey.
func newSecret() (uint32, error) {
	var secret [4]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return 0, errors.Wrap(err, "choose a cancel key")
	}
	return binary.BigEndian.Uint32(secret[:]), nil
}
