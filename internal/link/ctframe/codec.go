package ctframe

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctcbor"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// MaxBytes is the maximum size of a frame, without the 4 bytes of the length. It also
// limits the size of decompressed data.
const MaxBytes = 20 << 20

// headerBytes is the size of the length (4 bytes) and the kind (1 byte).
const headerBytes = 5

// Encode returns the encoded frame with its header. It returns an error of kind
// cterror.Invalid if the frame is larger than MaxBytes.
func Encode(frame Frame) ([]byte, error) {
	body, err := ctcbor.Marshal(frame)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	if len(body)+1 > MaxBytes {
		return nil, cterror.Newf(cterror.Invalid, "send less at once", "frame of %d bytes is over the limit", len(body))
	}
	data := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(data, uint32(len(body)+1))
	data[4] = byte(frame.kind())
	return append(data, body...), nil
}

// Write encodes a frame and writes it with one call to w.
func Write(w io.Writer, frame Frame) error {
	data, err := Encode(frame)
	if err != nil {
		return err
	}
	_, err = w.Write(data)
	return errors.Wrap(err, "write frame")
}

// Read reads and checks one frame. It returns io.EOF if the stream ended between two
// frames, and an error of kind cterror.Invalid if the frame is malformed.
func Read(r io.Reader) (Frame, error) {
	return ReadMetered(r, nil)
}

// Meter limits what received frames may hold.
type Meter interface {
	// ChargeFrame returns an error if the peer may not hold a frame of a number of bytes, in place of
	// that of the last call. 0 means that it holds none.
	ChargeFrame(bytes int) error
	// FrameArrived is called when a frame has arrived whole.
	FrameArrived()
}

// ReadMetered is Read with a meter, unless that is nil. The meter is charged for the body of the
// frame, as far as it has arrived, until the next call.
func ReadMetered(r io.Reader, meter Meter) (Frame, error) {
	raw, err := ReadRaw(r, meter)
	if err != nil {
		return nil, err
	}
	return raw.Decode()
}

// firstBodyBytes is how much memory the body of a frame gets before any of it has arrived. Most
// frames are smaller.
const firstBodyBytes = 16 << 10

// readBody reads the body of a frame. Its memory at most doubles with what has arrived, whatever
// length the header claims.
func readBody(r io.Reader, size int, meter Meter) ([]byte, error) {
	body := make([]byte, 0, min(size, firstBodyBytes))
	for len(body) < size {
		if len(body) == cap(body) {
			grown := min(size, 2*cap(body))
			if meter != nil {
				if err := meter.ChargeFrame(grown); err != nil {
					return nil, err
				}
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := io.ReadFull(r, body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil {
			return nil, errors.Wrap(err, "read frame body")
		}
	}
	return body, nil
}

// Decode decodes and checks the body of a frame. wireKind is the kind in its header.
// Errors are of kind cterror.Invalid.
func Decode(wireKind byte, body []byte) (Frame, error) {
	newFrame, ok := constructors[kind(wireKind)]
	if !ok {
		return nil, cterror.Newf(cterror.Invalid, "upgrade this process", "frame kind %d is unknown", wireKind)
	}
	frame := newFrame()
	if err := ctcbor.Unmarshal(body, frame); err != nil {
		return nil, cterror.Wrap(cterror.Invalid, err, "decode frame", "check that both processes have one version")
	}
	if c, ok := frame.(checker); ok {
		if err := c.Check(); err != nil {
			return nil, err
		}
	}
	return frame, nil
}
