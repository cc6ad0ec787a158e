/*
Package ctholder decides which proxy holds the connections to a member.

# Why members have holders

A member accepts few connections and runs few statements at once. Shares of
them can't be split among all the proxies of a large fleet, so one proxy of the
member's failure domain holds them all and the others send their requests to
it.

# Rendezvous hashing

Rank orders the ready proxies of the member's failure domain by a hash of the
proxy's and the member's names. The first is the holder. When a proxy leaves,
only the members that it held move; when one joins, it takes an equal share.

# Usage

	for _, proxy := range ctholder.Rank(view, member) {
		...
	}
*/
package ctholder
