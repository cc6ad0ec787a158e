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

const (
	readBufferBytes = 16 << 10
	// closeTimeout limits how long Close waits for the backend server.
	closeTimeout = time.Second
)

// Target contains the address of a backend server and the parameters to connect
// with.
type Target struct {
	Address  netip.AddrPort
	Database string
	User     string
	Password string
	// ApplicationName is sent as PostgreSQL's parameter application_name.
	ApplicationName string
}

// Conn is a connection to a backend server. Only one goroutine at a time may use
// it, but for Cancel.
type Conn struct {
	// Incarnation is the incarnation of the backend server's process. Dial doesn't
	// set it.
	Incarnation ctid.Incarnation

	target    Target
	socket    net.Conn
	reader    *bufio.Reader
	processID uint32
	secretKey []byte
	broken    bool
	doubt     Doubt
	// confirmations counts the calls of Confirm.
	confirmations     uint64
	used              bool
	transactionStatus byte
}

// Dial opens a connection. If it can't connect, the error has the kind
// cterror.Unavailable, and no statement has run.
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
	if err := checkGreetingEnded(ctx, hijacked); err != nil {
		_ = hijacked.Conn.Close()
		return nil, err
	}
	return &Conn{
		target:            target,
		socket:            hijacked.Conn,
		reader:            bufio.NewReaderSize(hijacked.Conn, readBufferBytes),
		processID:         hijacked.PID,
		secretKey:         hijacked.SecretKey,
		transactionStatus: TransactionIdle,
	}, nil
}

// checkGreetingEnded returns an error if pgconn has read more than the greeting, other than
// messages that may come at any time.
func checkGreetingEnded(ctx context.Context, connection *pgconn.HijackedConn) error {
	deadline, _ := ctx.Deadline()
	_ = connection.Conn.SetDeadline(deadline)
	for connection.Frontend.ReadBufferLen() > 0 {
		message, err := connection.Frontend.Receive()
		if err != nil {
			return cterror.Wrap(cterror.Unavailable, err, "read what follows a greeting", "check the backend server")
		}
		switch message.(type) {
		case *pgproto3.ParameterStatus, *pgproto3.NoticeResponse, *pgproto3.NotificationResponse:
		default:
			return cterror.New(cterror.Unavailable, "the backend server sent a message behind its greeting",
				"check the backend server")
		}
	}
	return nil
}

// Broken reports whether the connection must not be used again, because it failed
// or the rest of an earlier answer may still arrive on it.
func (c *Conn) Broken() bool {
	return c.broken
}

// Used reports whether a request was sent on the connection since Dial.
func (c *Conn) Used() bool {
	return c.used
}

// InTransaction reports whether a transaction is open on the connection.
func (c *Conn) InTransaction() bool {
	return c.used && c.transactionStatus != TransactionIdle
}

// MarkBroken marks the connection as broken. Broken then returns true.
func (c *Conn) MarkBroken() {
	c.broken = true
}

// Close sends Terminate and waits up to closeTimeout for the backend server to close
// its side. Once it has, the server no longer counts the connection, and another one
// can be opened without exceeding the server's limit.
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

// Cancel sends the backend server a request to cancel what the connection runs, over
// a separate connection. It doesn't wait for the effect. It may be called while Run
// runs.
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
