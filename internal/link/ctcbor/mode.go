package ctcbor

import "github.com/fxamacker/cbor/v2"

// Limits of decoded data.
const (
	maxNestedLevels  = 16
	maxArrayElements = 1 << 20
)

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{
		TextMarshaler: cbor.TextMarshalerTextString,
		Time:          cbor.TimeRFC3339Nano,
	}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		TextUnmarshaler:  cbor.TextUnmarshalerTextString,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal returns the CBOR encoding of a value.
func Marshal(value any) ([]byte, error) {
	return encoder.Marshal(value)
}

// Unmarshal decodes data into value, which is a pointer.
func Unmarshal(data []byte, value any) error {
	return decoder.Unmarshal(data, value)
}
