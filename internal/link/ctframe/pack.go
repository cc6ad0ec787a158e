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

// Pack returns a delta in compressed form.
func Pack(delta *ctview.Delta) ([]byte, error) {
	body, err := ctcbor.Marshal(delta)
	if err != nil {
		return nil, errors.Wrap(err, "encode a delta")
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress a delta")
	}
	if _, err := writer.Write(body); err != nil {
		return nil, errors.Wrap(err, "compress a delta")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress a delta")
	}
	return packed.Bytes(), nil
}

// Unpack returns the delta of its compressed form.
func Unpack(packed []byte) (*ctview.Delta, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	body, err := io.ReadAll(io.LimitReader(reader, MaxBytes))
	if err != nil {
		return nil, cterror.Wrap(cterror.Invalid, err, "unpack a delta", "check that both processes have one version")
	}
	var delta ctview.Delta
	if err := ctcbor.Unmarshal(body, &delta); err != nil {
		return nil, cterror.Wrap(cterror.Invalid, err, "decode a delta", "check that both processes have one version")
	}
	return &delta, delta.Check()
}
