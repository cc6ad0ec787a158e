/*
Package ctcbor encodes and decodes CBOR with the project's settings. All CBOR of the
project, on the wire and on disk, is produced by this package.

# Settings

Types with a MarshalText method, such as netip.AddrPort, are encoded as text. Times
are encoded as text with nanoseconds. Types with an UnmarshalText method, such as
names, are decoded by that method, which rejects invalid values. Unmarshal also
rejects maps with duplicate keys, values of indefinite length, and arrays or nesting
over a limit.

# Usage

	data, err := ctcbor.Marshal(value)
	err = ctcbor.Unmarshal(data, &value)
*/
package ctcbor
