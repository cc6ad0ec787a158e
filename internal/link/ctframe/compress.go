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

// CompressDelta encodes a delta in CBOR and compresses it.
func CompressDelta(delta *ctview.Delta) ([]byte, error) {
	body, err := ctcbor.Marshal(delta)
	if err != nil {
		return nil, errors.Wrap(err, "encode a view")
	}
	return Compress(body)
}

// WholeDelta returns the delta of a reply with its configuration, or nil if there is none.
// The delta and its configuration may be compressed, each by itself. Errors are of kind
// cterror.Invalid.
func (r *ReportReply) WholeDelta() (*ctview.Delta, error) {
	if len(r.CompressedDelta) == 0 {
		return r.Delta, nil
	}
	delta, err := DecompressDelta(r.CompressedDelta)
	if err != nil {
		return nil, err
	}
	if len(r.CompressedConfig) > 0 {
		config, err := DecompressDelta(r.CompressedConfig)
		if err != nil {
			return nil, err
		}
		delta.Config, delta.ConfigPatch = config.Config, config.ConfigPatch
	}
	return delta, nil
}

// Compress compresses data in the DEFLATE format.
func Compress(data []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress data")
	}
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress data")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress data")
	}
	return compressed.Bytes(), nil
}

// DecompressDelta decodes and checks the result of CompressDelta. Errors are of kind
// cterror.Invalid.
func DecompressDelta(compressed []byte) (*ctview.Delta, error) {
	body, err := Decompress(compressed)
	if err != nil {
		return nil, err
	}
	delta := &ctview.Delta{}
	if err := ctcbor.Unmarshal(body, delta); err != nil {
		return nil, cterror.Wrap(cterror.Invalid, err, "decode a view", "check that both processes have one version")
	}
	return delta, delta.Check()
}

// Decompress returns the data that Compress compressed, cut off after MaxBytes. Errors
// are of kind cterror.Invalid.
func Decompress(compressed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), MaxBytes))
	if err != nil {
		return nil, cterror.Wrap(cterror.Invalid, err, "decompress data", "check that both processes have one version")
	}
	return data, nil
}
