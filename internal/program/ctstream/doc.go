/*
Package ctstream sends and receives frames over QUIC streams. It implements
ctframe.Stream and ctframe.Transport for the connections between processes.

# Usage

	transport := ctstream.Transport{Endpoint: endpoint}
	stream, err := transport.Open(ctx, address)
	err = stream.Write(frame)
	answer, err := stream.Read()
	stream.Close()
*/
package ctstream
