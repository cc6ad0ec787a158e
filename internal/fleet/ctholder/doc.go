/*
Package ctholder assigns each member a holder: the proxy that owns the connections
to the member. It uses rendezvous hashing, so all proxies with the same view
compute the same holder without coordination.

# Why members have holders

A member accepts few connections and runs few statements at once. They are too
few to divide among all proxies of a large fleet. One proxy of the member's
failure domain therefore owns all connections, and the others forward their
requests to it.

# Rendezvous hashing

Rank orders the ready proxies of the member's failure domain by a hash of the
proxy's and the member's names. The first is the holder. When a proxy leaves,
only its members get another holder. When one joins, it becomes the holder of an
equal share of the members.

# Usage

	for _, proxy := range ctholder.Rank(view, member) {
		...
	}
*/
package ctholder
