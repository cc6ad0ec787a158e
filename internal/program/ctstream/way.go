package ctstream

import (
	"bufio"
	"context"
	"net/netip"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctquic"
)

// codeClosed is the stream error code for a way that is given up.
const codeClosed = 1

// Stream is a stream of frames. One goroutine writes and one reads.
type Stream struct {
	stream *ctquic.Stream
	reader *bufio.Reader
}

// New returns a way over a stream.
func New(stream *ctquic.Stream) *Stream {
	return &Stream{stream: stream, reader: bufio.NewReader(stream)}
}

// Write writes one frame.
func (s *Stream) Write(frame ctframe.Frame) error {
	return ctframe.Write(s.stream, frame)
}

// Read reads one frame.
func (s *Stream) Read() (ctframe.Frame, error) {
	return ctframe.Read(s.reader)
}

// Close ends the way in both directions. What was written before is still
// delivered.
func (s *Stream) Close() {
	s.stream.CloseBoth(codeClosed)
}

// Transport opens ways to other processes.
type Transport struct {
	Endpoint *ctquic.Endpoint
}

// Open opens a way to the process at the address.
func (t *Transport) Open(ctx context.Context, address netip.AddrPort) (ctframe.Stream, error) {
	stream, err := t.Endpoint.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	return New(stream), nil
}

// Disconnect closes what is open to a process that is gone.
func (t *Transport) Disconnect(address netip.AddrPort) {
	t.Endpoint.Disconnect(address)
}
