/*
Package ctowner assigns workspaces to the proxies of a failure domain. A connection to
a member serves one workspace. The owners of a workspace open its connections to the
members of their failure domain, and the other proxies forward their queries to them,
so that the connections stay in use and within the members' limits.

# Load

The package answers many workspaces of uneven size that share few connections. With a
connection for each proxy and workspace, members would spend their time on opening
connections. A workspace therefore has few owners: one, or more where its share of the
failure domain's load is larger than a proxy's.

# Assignment

Each workspace ranks the proxies by rendezvous hashing. A change of one proxy then
moves only the workspaces that it owned. A proxy that has 1.25 times its share of the
load is passed over, which bounds the highest load of a proxy (consistent hashing
with bounded loads). Processes with the same view compute the same assignment. Processes
with different views may disagree for a while: that costs connections, never correctness.

# Usage

	assignment := ctowner.Assign(proxies, shares)
	for _, proxy := range assignment.Order(self, workspace) {
		...
	}
*/
package ctowner
