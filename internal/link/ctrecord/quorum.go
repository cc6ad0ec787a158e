package ctrecord

import (
	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctcbor"
)

// record is what the disk of a control process holds under one key.
type record interface {
	ctquorum.Peer | ctquorum.Entry | ctquorum.Snapshot | Vote
}

// Vote is the epoch of a control process and its vote in it.
type Vote struct {
	Epoch    ctquorum.Epoch `cbor:"epoch"`
	VotedFor ctquorum.Peer  `cbor:"vote"`
}

// Encode returns a record as bytes.
func Encode[R record](value R) ([]byte, error) {
	data, err := ctcbor.Marshal(value)
	return data, errors.Wrap(err, "encode a record")
}

// Decode decodes a record.
func Decode[R record](data []byte) (R, error) {
	var value R
	if err := ctcbor.Unmarshal(data, &value); err != nil {
		return value, damagedError(err)
	}
	return value, nil
}
