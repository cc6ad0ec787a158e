package ctframe

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctcbor"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// Packed is the part of a delta that may be large: one of its fields is set.
type Packed struct {
	Config *ctview.Config      `cbor:"1,keyasint,omitempty"`
	Patch  *ctview.ConfigPatch `cbor:"2,keyasint,omitempty"`
}

// Check reports the first fault of what was unpacked.
func (p *Packed) Check() error {
	if p.Patch != nil {
		return p.Patch.Patch.Check()
	}
	if p.Config != nil {
		return p.Config.Document.Check()
	}
	return nil
}

// Pack returns the part of a delta that may be large in compressed form.
func Pack(part Packed) ([]byte, error) {
	body, err := ctcbor.Marshal(part)
	if err != nil {
		return nil, errors.Wrap(err, "encode a configuration")
	}
	return Compress(body)
}

// Compress returns data in compressed form.
func Compress(data []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress data")
	}
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress data")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress data")
	}
	return packed.Bytes(), nil
}

// Unpack returns what Pack made the compressed form of.
func Unpack(packed []byte) (Packed, error) {
	var part Packed
	body, err := Decompress(packed)
	if err != nil {
		return part, err
	}
	if err := ctcbor.Unmarshal(body, &part); err != nil {
		return part, cterror.Wrap(cterror.Invalid, err, "decode a configuration",
			"check that both processes have one version")
	}
	return part, part.Check()
}

// Decompress returns the data of its compressed form.
func Decompress(packed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), MaxBytes))
	if err != nil {
		return nil, cterror.Wrap(cterror.Invalid, err, "decompress data", "check that both processes have one version")
	}
	return data, nil
}
