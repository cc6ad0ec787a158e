/*
Package ctfleet starts a fleet of real processes on loopback, for proofs and
measurements, and does to them what failures do.

# Shape

A Shape says how many failure domains, proxies, control processes and groups
there are. Each process has a data folder, a key folder and a log file under one
folder, and a relay in front of its UDP address, so that links can be delayed
and cut.

# Usage

	fleet, err := ctfleet.Start(ctx, ctfleet.Options{Folder: folder, Programs: programs, Shape: shape})
	defer fleet.Stop()
	fleet.Proxies[0].Kill()
	fleet.Net.Cut("taipei-a", "taichung-a")
*/
package ctfleet
