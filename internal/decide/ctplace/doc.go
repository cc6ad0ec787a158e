/*
Package ctplace sorts the members that may run a statement into the order in
which they are tried: the one with the lowest expected latency first, and those
that are to be avoided for a while last.

# Usage

	order := ctplace.Order(now, candidates)
*/
package ctplace
