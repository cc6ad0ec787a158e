/*
Package ctrecord encodes the data that control stores durably: the commands in its
replicated log, the snapshots of its register, and the records of the consensus
protocol on each process's disk.

# Encoding

A command consists of a kind of 1 byte and a CBOR map with keys in snake case. A
snapshot or other record is a CBOR map. DecodeCommand checks the decoded command,
except for one of type Publish.

# Usage

	data, err := ctrecord.EncodeCommand(command)
	command, err := ctrecord.DecodeCommand(data)
*/
package ctrecord
