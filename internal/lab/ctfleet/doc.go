/*
Package ctfleet runs a whole fleet on one machine, for tests and measurements:
control processes, proxies and stand-in backend servers, each a process of its
own on a loopback address. It injects failures: it kills, pauses and restarts
processes, and it delays and cuts the links between failure domains.

# Shape

A Shape says how many failure domains, proxies, control processes and groups
there are. All files lie in one folder: a log file and a key folder for each
process, and a data folder for each control process. The proxies and the control
processes reach each other's UDP addresses through relays, which delay and drop
packets (see package ctrelay). The HTTP addresses, the callers' connections and the
connections to the members have no relay.

# Usage

	fleet, err := ctfleet.Start(ctfleet.Options{Folder: folder, BinFolder: programs, Shape: shape})
	defer fleet.Stop()
	err = fleet.AwaitReady()
	fleet.Proxies[0].Kill()
	fleet.Network.Cut("taipei-a", "taichung-a")
*/
package ctfleet
