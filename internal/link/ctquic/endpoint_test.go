package ctquic_test

import (
	"context"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctkey"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctquic"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// testTimeout limits the context of a test, so that a test that hangs fails.
const testTimeout = 30 * time.Second

// newKeys creates a new fleet and returns the keys of one of its processes.
func newKeys(t *testing.T) *ctkey.Bundle {
	t.Helper()
	folder := t.TempDir()
	authority, node := filepath.Join(folder, "ca"), filepath.Join(folder, "node")
	assert.NilError(t, ctkey.CreateAuthority(authority, "test", time.Now()))
	assert.NilError(t, ctkey.Issue(authority, node, "node", time.Now()))
	keys, err := ctkey.Load(node)
	assert.NilError(t, err)
	return keys
}

func listen(t *testing.T, keys *ctkey.Bundle) *ctquic.Endpoint {
	t.Helper()
	endpoint, err := ctquic.Listen(netip.MustParseAddrPort("127.0.0.1:0"), keys)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = endpoint.Close() })
	return endpoint
}

// serveEcho replies to each frame with the same frame.
func serveEcho(t *testing.T, endpoint *ctquic.Endpoint) {
	t.Helper()
	go func() {
		_ = endpoint.Serve(context.Background(), func(_ context.Context, stream *ctquic.Stream) {
			for {
				frame, err := ctframe.Read(stream)
				if err != nil || ctframe.Write(stream, frame) != nil {
					return
				}
			}
		})
	}()
}

func TestEndpoint(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	keys := newKeys(t)
	server, client := listen(t, keys), listen(t, keys)
	serveEcho(t, server)
	t.Run("transports frames in both directions", func(t *testing.T) {
		stream, err := client.Open(ctx, server.Address())
		assert.NilError(t, err)
		sent := &ctframe.Position{Group: ctid.Group("fit-registry")}
		assert.NilError(t, ctframe.Write(stream, sent))
		got, err := ctframe.Read(stream)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, sent)
	})
	t.Run("rejects a peer with keys of another fleet", func(t *testing.T) {
		other := listen(t, newKeys(t))
		_, err := other.Open(ctx, server.Address())
		assert.ErrorContains(t, err, "keys of this fleet")
	})
	t.Run("fails reads when the peer closes", func(t *testing.T) {
		peer := listen(t, keys)
		serveEcho(t, peer)
		stream, err := client.Open(ctx, peer.Address())
		assert.NilError(t, err)
		assert.NilError(t, ctframe.Write(stream, &ctframe.Position{Group: "fit-registry"}))
		_, err = ctframe.Read(stream)
		assert.NilError(t, err)
		assert.NilError(t, peer.Close())
		_, err = ctframe.Read(stream)
		assert.ErrorContains(t, err, "closed")
	})
}

func assertConnections(t *testing.T, endpoint *ctquic.Endpoint, want int) {
	t.Helper()
	assert.Equal(t, endpoint.Connections(), want)
}

func TestUnusedConnections(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	keys := newKeys(t)
	server, client := listen(t, keys), listen(t, keys)
	serveEcho(t, server)
	later := time.Now().Add(time.Hour)
	stream, err := client.Open(ctx, server.Address())
	assert.NilError(t, err)
	t.Run("stay open while they have a stream", func(t *testing.T) {
		client.CloseUnused(later)
		assertConnections(t, client, 1)
	})
	stream.CloseBoth(0)
	stream.CloseBoth(0)
	t.Run("stay open until they time out", func(t *testing.T) {
		client.CloseUnused(time.Now())
		assertConnections(t, client, 1)
	})
	t.Run("are closed after the timeout", func(t *testing.T) {
		client.CloseUnused(later)
		assertConnections(t, client, 0)
	})
	t.Run("are opened again by the next stream", func(t *testing.T) {
		reopened, err := client.Open(ctx, server.Address())
		assert.NilError(t, err)
		reopened.CloseBoth(0)
		assertConnections(t, client, 1)
	})
}
