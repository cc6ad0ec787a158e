package ctstream

import (
	"bufio"
	"context"
	"net/netip"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctquic"
)

// codeGone is the stream error code for a way that is given up.
const codeGone = 1

// Way is a stream of frames. One goroutine writes and one reads.
type Way struct {
	stream *ctquic.Stream
	reader *bufio.Reader
}

// New returns a way over a stream.
func New(stream *ctquic.Stream) *Way {
	return &Way{stream: stream, reader: bufio.NewReader(stream)}
}

// Write writes one frame.
func (w *Way) Write(frame ctframe.Frame) error {
	return ctframe.Write(w.stream, frame)
}

// Read reads one frame.
func (w *Way) Read() (ctframe.Frame, error) {
	return ctframe.Read(w.reader)
}

// Close ends the way in both directions. What was written before is still
// delivered.
func (w *Way) Close() {
	w.stream.CloseBoth(codeGone)
}

// Ways opens ways to other processes.
type Ways struct {
	Endpoint *ctquic.Endpoint
}

// Open opens a way to the process at the address.
func (w *Ways) Open(ctx context.Context, address netip.AddrPort) (ctframe.Stream, error) {
	stream, err := w.Endpoint.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	return New(stream), nil
}

// Disconnect closes what is open to a process that is gone.
func (w *Ways) Disconnect(address netip.AddrPort) {
	w.Endpoint.Disconnect(address)
}
