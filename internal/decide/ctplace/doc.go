/*
Package ctplace puts the members that may run a statement in the order in which
they are tried: the one with the least expected time first.

# Usage

	order := ctplace.Order(now, candidates)
*/
package ctplace
