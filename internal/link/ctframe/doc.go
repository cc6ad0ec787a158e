/*
Package ctframe defines the wire protocol between the system's own processes: the
types of its messages, called frames, their encoding, and the interfaces of the
streams that transport them.

# Encoding

A frame consists of a length of 4 bytes in big-endian order, a kind of 1 byte and
a body in CBOR. The length counts the kind and the body. The body is a map. Its
keys are text in snake case, except in Forward and ForwardReply, where they are
integers. Read decodes the body into the type for the kind and calls the Check
method that the type may have. It rejects a frame over MaxBytes before it reads
the body.

# Usage

	err := ctframe.Write(stream, &ctframe.Cancel{Request: request, Member: member})
	frame, err := ctframe.Read(stream)
	switch f := frame.(type) {
	case *ctframe.Done:
		...
	}
*/
package ctframe
