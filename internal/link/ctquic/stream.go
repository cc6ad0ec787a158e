package ctquic

import (
	"sync"

	"github.com/quic-go/quic-go"
)

// Stream is a two-way stream of frames.
type Stream struct {
	*quic.Stream

	once    sync.Once
	release func()
}

// CloseBoth ends the stream in both directions, with the code for what the peer still
// sends. What was written before is still delivered.
func (s *Stream) CloseBoth(code quic.StreamErrorCode) {
	s.CancelRead(code)
	_ = s.Close()
	if s.release != nil {
		s.once.Do(s.release)
	}
}
