package ctframe

import (
	"context"
	"net/netip"
)

// Stream is a two-way stream of frames. One goroutine writes and one reads.
type Stream interface {
	Write(frame Frame) error
	// Read returns the next frame, or io.EOF where the other side has ended the
	// way between two frames.
	Read() (Frame, error)
	// Close ends the way in both directions. What was written before is still
	// delivered.
	Close()
}

// Transport opens ways to other processes.
type Transport interface {
	// Open returns a way to the process at the address, or an error of kind
	// cterror.Unavailable where it can't be reached; nothing was sent then.
	Open(ctx context.Context, address netip.AddrPort) (Stream, error)
}

// Call writes a frame and returns the answer. When ctx ends first it closes the
// way, so that no late answer is taken for that of a later question.
func Call(ctx context.Context, stream Stream, frame Frame) (Frame, error) {
	stop := context.AfterFunc(ctx, stream.Close)
	defer stop()
	if err := stream.Write(frame); err != nil {
		return nil, err
	}
	return stream.Read()
}
