package ctquic

import (
	"sync"

	"github.com/quic-go/quic-go"
)

// Stream is a bidirectional QUIC stream. Callers exchange frames on it with ctframe.Write
// and ctframe.Read.
type Stream struct {
	*quic.Stream

	once sync.Once
	// release removes the stream from its peer's count. It is nil if the peer opened the
	// stream.
	release func()
}

// CloseBoth closes both directions of the stream. Data written before is still
// delivered. The peer's further writes fail with the code. CloseBoth may be called more
// than once.
func (s *Stream) CloseBoth(code quic.StreamErrorCode) {
	s.CancelRead(code)
	_ = s.Close()
	if s.release != nil {
		s.once.Do(s.release)
	}
}
