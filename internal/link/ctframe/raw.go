package ctframe

import (
	"encoding/binary"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// Raw is a frame that has been read and not decoded. Rejecting it costs a fraction of what
// decoding costs.
type Raw struct {
	kind kind
	body []byte
	// decoded is the frame of a stream that has no raw form, or nil.
	decoded Frame
	// Waited is how long ago the process received the frame; 0 if that is unknown.
	Waited time.Duration
}

// RawStream is a Stream whose frames can be read without decoding them.
type RawStream interface {
	Stream
	// ReadRaw is Read without decoding.
	ReadRaw() (Raw, error)
}

// ReadRawFrom reads a frame without decoding it if the stream allows that.
func ReadRawFrom(stream Stream) (Raw, error) {
	if s, ok := stream.(RawStream); ok {
		return s.ReadRaw()
	}
	frame, err := stream.Read()
	if err != nil {
		return Raw{}, err
	}
	return Raw{kind: frame.kind(), decoded: frame}, nil
}

// ReadRaw reads one frame without decoding it, with a meter unless that is nil. Its errors are
// those of Read.
func ReadRaw(r io.Reader, meter Meter) (Raw, error) {
	if meter != nil {
		if err := meter.ChargeFrame(0); err != nil {
			return Raw{}, err
		}
	}
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Raw{}, io.EOF
		}
		return Raw{}, errors.Wrap(err, "read frame header")
	}
	size := binary.BigEndian.Uint32(header[:])
	if size < 1 || size > MaxBytes {
		return Raw{}, cterror.Newf(cterror.Invalid, "check that the peer is a cherviltrestle process of this version",
			"frame of %d bytes is over the limit", size)
	}
	body, err := readBody(r, int(size-1), meter)
	if err != nil {
		return Raw{}, err
	}
	if meter != nil {
		meter.FrameArrived()
	}
	return Raw{kind: kind(header[4]), body: body}, nil
}

// Decode decodes and checks the frame. Errors are of kind cterror.Invalid.
func (r *Raw) Decode() (Frame, error) {
	if r.decoded != nil {
		return r.decoded, nil
	}
	return Decode(byte(r.kind), r.body)
}

// Empty returns an empty frame of the same type, or nil if the type is unknown.
func (r *Raw) Empty() Frame {
	newFrame, ok := constructors[r.kind]
	if !ok {
		return nil
	}
	return newFrame()
}
