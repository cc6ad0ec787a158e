package ctframe

import (
	"context"
	"net/netip"
)

// Stream is a bidirectional stream of frames. One goroutine may write while another one
// reads.
type Stream interface {
	// Write sends a frame.
	Write(frame Frame) error
	// Read waits for the next frame. It returns io.EOF if the peer has closed the
	// stream between two frames.
	Read() (Frame, error)
	// Close closes both directions of the stream. Frames written before are still
	// delivered. Close may be called while Write or Read waits.
	Close()
}

// Transport opens streams to other processes.
type Transport interface {
	// Open opens a stream to the process at the address. The error is of kind
	// cterror.Unavailable if the process can't be reached. No frame was sent then.
	Open(ctx context.Context, address netip.AddrPort) (Stream, error)
}

// Call sends a frame and returns the next frame that the peer sends. If ctx ends first,
// it closes the stream. Otherwise a late reply would be mistaken for the reply to the
// next call.
func Call(ctx context.Context, stream Stream, frame Frame) (Frame, error) {
	stop := context.AfterFunc(ctx, stream.Close)
	defer stop()
	if err := stream.Write(frame); err != nil {
		return nil, err
	}
	return stream.Read()
}
