package ctnode_test

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/link/cttcp"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctcontrol"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctnode"
)

// sendEarlyMessages sends messages in the name of another control process, again and
// again until ctx ends. It begins before the address is open.
func sendEarlyMessages(ctx context.Context, address netip.AddrPort) {
	name := ctid.Control(address.Addr().String())
	message := &ctframe.Quorum{
		From: ctquorum.Peer{Name: "127.0.0.2", Incarnation: 1}, To: ctquorum.Peer{Name: name},
		VoteRequest: &ctquorum.VoteRequest{},
	}
	for ctx.Err() == nil {
		stream, err := cttcp.Transport{}.Open(ctx, address)
		if err != nil {
			continue
		}
		for range 3 {
			if stream.Write(message) != nil {
				break
			}
		}
		stream.Close()
	}
}

// newTestControl returns a control process with a listener at the number-th address of this
// test process, so that test processes can run in parallel.
func newTestControl(t *testing.T, number byte, handler http.Handler) (*ctnode.Control, ctnode.Settings) {
	t.Helper()
	const port, blocks, blockSize = 17440, 4, 250
	high, low := byte(251+os.Getpid()%blocks), byte(os.Getpid()/blocks%blockSize)
	settings := ctnode.Settings{
		Name: "control", IP: netip.AddrFrom4([4]byte{127, high, low, number}), FailureDomain: "d", PeerPort: port,
		Bootstrap: true, DataFolder: t.TempDir(),
	}
	settings.Seeds = []netip.Addr{settings.IP, netip.MustParseAddr("127.0.0.2")}
	settings.OperatorAddress = netip.AddrPortFrom(settings.IP, port+1)
	c, err := ctnode.NewControl(settings, ctnode.ControlFrontends{
		OperatorHandler: func(*ctcontrol.Service) http.Handler { return handler },
	}, zerolog.Nop())
	assert.NilError(t, err)
	return c, settings
}

// TestControlStart guards against a failure when all control processes start at once:
// messages of the others then arrive before this process has read its disk.
func TestControlStart(t *testing.T) {
	t.Run("serves messages once it has read its disk", func(t *testing.T) {
		const starts = 8
		for i := range byte(starts) {
			c, settings := newTestControl(t, i+1, http.NotFoundHandler())
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			go sendEarlyMessages(ctx, netip.AddrPortFrom(settings.IP, settings.PeerPort))
			assert.NilError(t, c.Run(ctx))
			cancel()
		}
	})
}

// TestControlStop covers a request that has just been accepted when a planned stop begins.
func TestControlStop(t *testing.T) {
	t.Run("answers the requests that it has accepted", func(t *testing.T) {
		const number = 20
		accepted, release := make(chan struct{}), make(chan struct{})
		c, settings := newTestControl(t, number, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			close(accepted)
			<-release
			w.WriteHeader(http.StatusNoContent)
		}))
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		answered := make(chan int, 1)
		go func() { answered <- requestUntilServed(settings.OperatorAddress) }()
		<-accepted
		stop()
		time.AfterFunc(50*time.Millisecond, func() { close(release) })
		assert.Equal(t, <-answered, http.StatusNoContent)
		assert.NilError(t, <-ended)
	})
}

// requestUntilServed sends a request, again while nobody listens, and returns the status.
// It returns 0 if the connection ends without an answer.
func requestUntilServed(address netip.AddrPort) int {
	for {
		response, err := http.Get("http://" + address.String() + "/")
		if err == nil {
			_ = response.Body.Close()
			return response.StatusCode
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return 0
		}
		time.Sleep(time.Millisecond)
	}
}
