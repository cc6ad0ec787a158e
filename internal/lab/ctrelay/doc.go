/*
Package ctrelay passes UDP packets between the processes of a fleet, later than
they were sent, or not at all.

# Sites and links

Each process is at a site, which stands for its failure domain. A Relay stands
in front of one process; it knows the site of a sender by the port that the
sender sends from. The Net decides, for each pair of sites, how long a packet
takes and whether the link is cut. Cuts and delays can be changed while packets
flow.

# Usage

	var net ctrelay.Net
	net.SetDelay("taipei-a", "taichung-a", 1500*time.Microsecond)
	relay, err := ctrelay.Start(&net, front, process, "taichung-a")
	net.Cut("taipei-a", "taichung-a")
*/
package ctrelay
