/*
Package ctheldlink runs real control processes and proxies around a group of simulated
members, over links that can be held. Nothing passes a held link. What was written
meanwhile is delivered at the end of the hold, also if the writer has closed its
connection or has ended: a promotion request can take effect long after its sender has
given it up.

# Parts

A Network holds the state of the links between hosts. A relay stands in front of each
process, each member and the service that promotes members. The Group simulates members
with logs of their own, and the Service promotes them. Callers write through the proxies.
The Judge knows which commits were acknowledged, and compares them with the log of each
member at the moment that it is promoted.

# Lock order

A Group's mutex is acquired before those of the Judge and the Network. No lock is held
during a call that may wait.

# Usage

	fleet, err := ctheldlink.Start(ctheldlink.Options{BinFolder: "bin", Folder: folder, Logger: logger})
	defer fleet.Close()
	hold := fleet.Network.Hold("control-0", ctheldlink.ServiceHost)
	...
	hold.Release()
	violations := fleet.Judge.Violations()
*/
package ctheldlink
