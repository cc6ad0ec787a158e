/*
Package ctrelay simulates the network between the processes of a fleet that runs
on one machine. Its relays forward UDP packets and TCP connections, and delay, drop
or reset them on request. Cuts and delays can be changed while traffic flows.

# UDP

Each process is in a failure domain. A UDPRelay listens in front of one process. It
looks up the failure domain of a sender by the port that the sender sends from. The
UDPNetwork states, for each pair of failure domains, how long a packet takes and
whether the link is cut.

# TCP

A TCPRelay listens in front of one TCP address of a process. The TCPNetwork tells
hosts apart by their IP addresses. It states the delay of each host, and for each
direction between two hosts whether it is cut. It can also reset the open connections
of a host, or stop their bytes without a reset.

# Usage

	var network ctrelay.UDPNetwork
	network.SetFailureDomain(senderPort, "taipei-a")
	network.SetDelay("taipei-a", "taichung-a", 1500*time.Microsecond)
	relay, err := ctrelay.StartUDP(&network, listen, process, "taichung-a")
	defer relay.Close()
	network.Cut("taipei-a", "taichung-a")
*/
package ctrelay
