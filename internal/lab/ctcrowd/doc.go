/*
Package ctcrowd runs a real control process and a real proxy with small limits, and crowds of
clients that misbehave. It checks that the processes live, that their peak resident memory and
their descriptors stay under the limits in their settings, and that an ordinary request is
answered while the crowd is still connected.

# Parts

A System is one control process, one proxy and one stand-in member on loopback addresses. A Crowd
is a number of clients with one Behaviour; each client ends its own part on its own and then keeps
its connection. Members and clients speak through package ctpeer, which shares no code with the
product.

Nothing here depends on the speed of the machine: no time is checked, and no share of requests
served.

# Usage

	system, err := ctcrowd.Start(ctcrowd.Options{BinFolder: "bin", Folder: folder, Memory: 80})
	defer system.Close()
	crowd := ctcrowd.Crowd{Address: system.CallerAddress(), Size: 100, Behaviour: ctcrowd.HalfMessage{}}
	crowd.Run()
	defer crowd.Close()
	usage, err := system.Proxy.Usage()
*/
package ctcrowd
