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
	raw, err := ReadRaw(r)
	if err != nil {
		return nil, err
	}
	return raw.Decode()
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
