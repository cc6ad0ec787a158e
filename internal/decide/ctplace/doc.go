/*
Package ctplace sorts the members that may run a statement into the order in
which they are tried: the one with the lowest expected latency first.

# Usage

	order := ctplace.Order(now, candidates)
*/
package ctplace
