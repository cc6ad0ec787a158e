package ctstream

import (
	"bufio"
	"context"
	"net/netip"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctquic"
)

// codeClosed is the QUIC error code by which Close asks the peer to stop sending.
const codeClosed = 1

// Stream is a bidirectional stream of frames. At most one goroutine may write and
// at most one may read at the same time.
type Stream struct {
	stream *ctquic.Stream
	reader *bufio.Reader
}

// New returns a frame stream over a QUIC stream, which it owns from then on.
func New(stream *ctquic.Stream) *Stream {
	return &Stream{stream: stream, reader: bufio.NewReader(stream)}
}

// Write sends one frame.
func (s *Stream) Write(frame ctframe.Frame) error {
	return ctframe.Write(s.stream, frame)
}

// Read returns the next frame.
func (s *Stream) Read() (ctframe.Frame, error) {
	return ctframe.Read(s.reader)
}

// Close ends the stream in both directions. Frames written before are still
// delivered.
func (s *Stream) Close() {
	s.stream.CloseBoth(codeClosed)
}

// Transport opens streams to other processes over one QUIC endpoint.
type Transport struct {
	Endpoint *ctquic.Endpoint
}

// Open opens a stream to the process at the address. The caller closes it.
func (t *Transport) Open(ctx context.Context, address netip.AddrPort) (ctframe.Stream, error) {
	stream, err := t.Endpoint.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	return New(stream), nil
}

// Disconnect closes the connection to a process that is gone, with its streams.
func (t *Transport) Disconnect(address netip.AddrPort) {
	t.Endpoint.Disconnect(address)
}
