package ctrecord

import (
	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctcbor"
)

// record lists the types that a control process stores on its disk, each value under its
// own key.
type record interface {
	ctquorum.Peer | ctquorum.Entry | ctquorum.Snapshot | Vote
}

// Vote is a control process's epoch and its vote in that epoch.
type Vote struct {
	Epoch ctquorum.Epoch `cbor:"epoch"`
	// VotedFor is the candidate that got the vote. It is zero if the process has not
	// voted.
	VotedFor ctquorum.Peer `cbor:"vote"`
}

// Encode returns the encoding of a record.
func Encode[R record](value R) ([]byte, error) {
	data, err := ctcbor.Marshal(value)
	return data, errors.Wrap(err, "encode a record")
}

// Decode decodes a record. The error is of kind cterror.Invalid if the data is damaged.
func Decode[R record](data []byte) (R, error) {
	var value R
	if err := ctcbor.Unmarshal(data, &value); err != nil {
		return value, damagedError(err)
	}
	return value, nil
}
