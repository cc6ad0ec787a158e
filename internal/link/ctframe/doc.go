/*
Package ctframe holds the messages between the system's own processes and their
encoding.

# Encoding

A frame is a length of 4 bytes, big-endian, that counts what follows; a kind of
1 byte; and a CBOR map whose keys are in snake case. Read decodes the body into
the type of its kind and lets it check itself, so a frame that Read returns is
valid. A frame over MaxBytes is refused before its body is read.

# Usage

	err := ctframe.Write(stream, ctframe.Cancel{Request: request})
	frame, err := ctframe.Read(stream)
	switch f := frame.(type) {
	case *ctframe.Done:
		...
	}
*/
package ctframe
