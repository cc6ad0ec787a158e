/*
Package ctcbor holds the one way in which the project writes CBOR, on the wire
and on disk.

# Rules

Names and other types that check themselves are written as text, times with
nanoseconds. A map with a doubled key, a value of unknown length, or one that is
nested too deep is refused.

# Usage

	data, err := ctcbor.Marshal(value)
	err = ctcbor.Unmarshal(data, &value)
*/
package ctcbor
