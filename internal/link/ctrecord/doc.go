/*
Package ctrecord encodes what control keeps for good: the commands of the
replicated log and the snapshots of the register.

# Encoding

A command is a kind of 1 byte and a CBOR map with keys in snake case; a snapshot
is a CBOR map. Commands check themselves when they are decoded.

# Usage

	data, err := ctrecord.EncodeCommand(command)
	command, err := ctrecord.DecodeCommand(data)
*/
package ctrecord
