package ctbackend

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// The sizes and times of a connection.
const (
	readBufferBytes = 16 << 10
	closeTimeout    = time.Second
)

// Target tells how to reach a backend server.
type Target struct {
	Address  netip.AddrPort
	Database string
	User     string
	Password string
	// ApplicationName is shown by the backend server as the application's name.
	ApplicationName string
}

// Conn is a connection to a backend server. It is used by one goroutine at a
// time.
type Conn struct {
	// Incarnation is that of the backend server's process.
	Incarnation ctid.Incarnation

	target            Target
	socket            net.Conn
	reader            *bufio.Reader
	processID         uint32
	secretKey         []byte
	broken            bool
	used              bool
	transactionStatus byte
}

// Dial opens a connection. It returns an error of kind cterror.Unavailable
// where that fails; nothing ran then.
func Dial(ctx context.Context, target Target) (*Conn, error) {
	config, err := pgconn.ParseConfig("host=127.0.0.1 sslmode=disable target_session_attrs=any")
	if err != nil {
		return nil, errors.Wrap(err, "prepare a backend connection")
	}
	config.Host = target.Address.Addr().String()
	config.Port = target.Address.Port()
	config.Database = target.Database
	config.User = target.User
	config.Password = target.Password
	config.Fallbacks = nil
	config.RuntimeParams = map[string]string{"application_name": target.ApplicationName}
	connection, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, cterror.Wrap(cterror.Unavailable, err, "connect to the backend server",
			"check that it runs and accepts connections")
	}
	hijacked, err := connection.Hijack()
	if err != nil {
		return nil, errors.Wrap(err, "take over a backend connection")
	}
	return &Conn{
		target:    target,
		socket:    hijacked.Conn,
		reader:    bufio.NewReaderSize(hijacked.Conn, readBufferBytes),
		processID: hijacked.PID,
		secretKey: hijacked.SecretKey,
	}, nil
}

// Broken reports whether the connection failed or may hold a late answer, so
// that it must not be used again.
func (c *Conn) Broken() bool {
	return c.broken
}

// Used reports whether the connection ran anything since it was opened.
func (c *Conn) Used() bool {
	return c.used
}

// InTransaction reports whether a transaction is open on the connection.
func (c *Conn) InTransaction() bool {
	return c.used && c.transactionStatus != TransactionIdle
}

// MarkBroken marks the connection as not to be used again.
func (c *Conn) MarkBroken() {
	c.broken = true
}

// Close ends the connection and waits a little for the backend server to close
// its side, so that the server's count of connections has gone down before the
// connection's place is given away.
func (c *Conn) Close() {
	_ = c.socket.SetDeadline(time.Now().Add(closeTimeout))
	if data, err := (&pgproto3.Terminate{}).Encode(nil); err == nil {
		_, _ = c.socket.Write(data)
	}
	if halfCloser, ok := c.socket.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
	for {
		if _, err := c.reader.Discard(readBufferBytes); err != nil {
			break
		}
	}
	_ = c.socket.Close()
}

// Cancel asks the backend server, over a connection of its own, to cancel what
// the connection runs. It may be called while Run runs.
func (c *Conn) Cancel(ctx context.Context) error {
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp", c.target.Address.String())
	if err != nil {
		return errors.Wrap(err, "connect to cancel")
	}
	defer func() { _ = socket.Close() }()
	data, err := (&pgproto3.CancelRequest{ProcessID: c.processID, SecretKey: c.secretKey}).Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode a cancel request")
	}
	_, err = socket.Write(data)
	return errors.Wrap(err, "send a cancel request")
}
