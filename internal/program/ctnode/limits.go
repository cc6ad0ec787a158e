package ctnode

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctbudget"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/link/cttcp"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctaccount"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctgateway"
)

const (
	// bodyCopies is how many copies of a body are in memory at most: two while its buffer grows, and
	// the decoded one.
	bodyCopies = 3
	// bodyStepBytes is by how much the charge for a body grows.
	bodyStepBytes = 64 << 10
	// largestBodyBytes is the size of the largest legal body, a configuration.
	largestBodyBytes = 8 << 20
	// frameCopies is how many copies of a frame are in memory: as it arrives and decoded.
	frameCopies = 2
	// largestForwardBytes is the size of the largest frame that a proxy sends to another one on behalf
	// of a client: a statement and the session state that it needs.
	largestForwardBytes = 9 << 20
)

// The shares of the clients of each listener. A fourth of the descriptors remains for connections that
// the process opens itself.
var (
	callerShare = ctbudget.Share{MemoryDivisor: 4, DescriptorDivisor: 3, Largest: ctgateway.LargestCharge}
	peerShare   = ctbudget.Share{MemoryDivisor: 8, DescriptorDivisor: 4, Largest: frameCopies * largestForwardBytes}
	// controlPeerShare is that of the links of other processes to a control process.
	controlPeerShare = ctbudget.Share{MemoryDivisor: 8, DescriptorDivisor: 2, Largest: frameCopies * ctframe.MaxBytes}
	operatorShare    = ctbudget.Share{MemoryDivisor: 4, DescriptorDivisor: 4, Largest: bodyCopies * largestBodyBytes}
	probeShare       = ctbudget.Share{MemoryDivisor: 16, DescriptorDivisor: 16}
)

func (s *Settings) resources() ctbudget.Resources {
	return ctbudget.Resources{MemoryMB: s.MemoryMB, Descriptors: s.DescriptorLimit}
}

// newAccounts returns accounts whose limits are a share of the process's resources.
func (s *Settings) newAccounts(share ctbudget.Share, options ctaccount.Options) *ctaccount.Accounts {
	options.Limits = ctbudget.LimitsOf(s.resources(), share)
	return ctaccount.New(options)
}

// NewAnswerSlots returns the slots for large answers that arrive from members.
func (s *Settings) NewAnswerSlots() *ctaccount.Slots {
	return ctaccount.NewSlots(ctbudget.LargeAnswers(s.resources()))
}

// errBodyOverBudget is returned for a body for which there is no room.
var errBodyOverBudget = cterror.New(cterror.Exhausted, "the bodies of requests take too much memory",
	"send it again later")

// errFrameOverBudget is returned for a frame for which there is no room.
var errFrameOverBudget = cterror.New(cterror.Exhausted, "the frames of peers take too much memory",
	"send it again later")

// frameMeter charges a peer's frames to its account.
type frameMeter struct {
	account *ctaccount.Account
}

// ChargeFrame charges for a frame of a number of bytes. A stream on which a frame stops midway may be
// closed for others.
func (m frameMeter) ChargeFrame(bytes int) error {
	if bytes > 0 {
		m.account.SetRunning(false)
	}
	if !m.account.Charge(ctbudget.UseMessage, frameCopies*ctbudget.Bytes(bytes)) {
		return errFrameOverBudget
	}
	return nil
}

// FrameArrived records a frame. A stream that is between two frames, or whose frame is handled, is not
// closed for others.
func (m frameMeter) FrameArrived() {
	m.account.Progress()
	m.account.SetRunning(true)
}

// serveMetered serves a stream of a peer if the accounts have room for it.
func serveMetered(accounts *ctaccount.Accounts, stream *cttcp.Stream, serve func()) {
	account, admitted := accounts.Open(stream.Close)
	if !admitted {
		return
	}
	defer account.Close()
	stream.Meter = frameMeter{account}
	serve()
}

// meteredListener opens an account for each connection, and closes connections for which there is no
// room.
type meteredListener struct {
	net.Listener
	accounts *ctaccount.Accounts
}

// Accept waits for the next connection for which there is room.
func (l meteredListener) Accept() (net.Conn, error) {
	for {
		socket, err := l.Listener.Accept()
		if err != nil {
			// The server repeats the call after a temporary error, which it recognizes by its type.
			return nil, err
		}
		account, admitted := l.accounts.Open(func() { _ = socket.Close() })
		if admitted {
			return &meteredConn{Conn: socket, account: account}, nil
		}
		_ = socket.Close()
	}
}

// meteredConn is a connection with an account.
type meteredConn struct {
	net.Conn
	account *ctaccount.Account
}

// Close closes the connection and its account.
func (c *meteredConn) Close() error {
	c.account.Close()
	return errors.Wrap(c.Conn.Close(), "close a connection")
}

// accountKey is the key of the account in the context of a request.
type accountKey struct{}

// accountContext adds the account of a connection to the context of its requests.
func accountContext(ctx context.Context, socket net.Conn) context.Context {
	if c, ok := socket.(*meteredConn); ok {
		return context.WithValue(ctx, accountKey{}, c.account)
	}
	return ctx
}

// meterBodies returns a handler that charges the bodies of requests to the accounts of their
// connections. A connection whose request has arrived whole is not closed for others before the
// response.
func meterBodies(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		account, _ := r.Context().Value(accountKey{}).(*ctaccount.Account)
		account.Progress()
		if r.Body != http.NoBody {
			r.Body = &meteredBody{ReadCloser: r.Body, account: account}
		}
		defer account.Charge(ctbudget.UseMessage, 0)
		defer account.SetRunning(false)
		handler.ServeHTTP(w, r)
	})
}

// meteredBody is the body of a request.
type meteredBody struct {
	io.ReadCloser
	account       *ctaccount.Account
	read, charged int
}

// Read reads a part of the body, unless there is no room for more.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.read += n; b.read > b.charged {
		charge := b.read + bodyStepBytes
		if !b.account.Charge(ctbudget.UseMessage, bodyCopies*ctbudget.Bytes(charge)) {
			return 0, errBodyOverBudget
		}
		b.charged = charge
	}
	if errors.Is(err, io.EOF) {
		b.account.SetRunning(true)
	}
	return n, err
}
