package ctframe

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctcbor"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// MaxBytes is the largest frame, in bytes after the length.
const MaxBytes = 20 << 20

// headerBytes is the size of the length and the kind.
const headerBytes = 5

// Encode returns the frame as bytes.
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

// Write writes one frame.
func Write(w io.Writer, frame Frame) error {
	data, err := Encode(frame)
	if err != nil {
		return err
	}
	_, err = w.Write(data)
	return errors.Wrap(err, "write frame")
}

// Read reads one frame. It returns io.EOF where the stream ended between
// frames, and an error of kind cterror.Invalid for a malformed frame.
func Read(r io.Reader) (Frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, errors.Wrap(err, "read frame header")
	}
	size := binary.BigEndian.Uint32(header[:])
	if size < 1 || size > MaxBytes {
		return nil, cterror.Newf(cterror.Invalid, "check that the peer is a cherviltrestle process of this version",
			"frame of %d bytes is over the limit", size)
	}
	body := make([]byte, size-1)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, errors.Wrap(err, "read frame body")
	}
	return Decode(header[4], body)
}

// Decode decodes the body of a frame of the kind that the wire named.
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
