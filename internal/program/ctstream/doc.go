/*
Package ctstream joins QUIC streams and frames to the ways that the parts of a
process talk over.

# Usage

	ways := ctstream.Ways{Endpoint: endpoint}
	way, err := ways.Open(ctx, address)
	err = way.Write(frame)
	answer, err := way.Read()
*/
package ctstream
