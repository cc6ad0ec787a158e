package ctnode_test

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"testing"
	"time"

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

// TestControlStart guards against a failure when all control processes start at once:
// messages of the others then arrive before this process has read its disk.
func TestControlStart(t *testing.T) {
	t.Run("serves messages once it has read its disk", func(t *testing.T) {
		const starts, port, blocks, blockSize = 8, 17440, 4, 250
		// The addresses depend on the process id, so that test processes can run in parallel.
		high, low := byte(251+os.Getpid()%blocks), byte(os.Getpid()/blocks%blockSize)
		for i := range starts {
			settings := ctnode.Settings{
				Name: "control", IP: netip.AddrFrom4([4]byte{127, high, low, byte(i + 1)}), FailureDomain: "d", PeerPort: port,
				Bootstrap: true, DataFolder: t.TempDir(),
			}
			settings.Seeds = []netip.Addr{settings.IP, netip.MustParseAddr("127.0.0.2")}
			settings.OperatorAddress = netip.AddrPortFrom(settings.IP, port+1)
			c, err := ctnode.NewControl(settings, ctnode.ControlFrontends{
				OperatorHandler: func(*ctcontrol.Service) http.Handler { return http.NotFoundHandler() },
			}, zerolog.Nop())
			assert.NilError(t, err)
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			go sendEarlyMessages(ctx, netip.AddrPortFrom(settings.IP, port))
			assert.NilError(t, c.Run(ctx))
			cancel()
		}
	})
}
