/*
Package ctnode assembles and runs the two kinds of process in a fleet, the proxy and
the control process, from settings and front ends. The front ends encode the messages to
callers, members and operators; the program that uses the package supplies them. The
processes find each other from a few seeds.

# Names and addresses

A process is named by its IP address, and all processes accept the connections of
their peers at the same port. A name is thus enough to reach a process. The
processes have no keys and their connections are not encrypted: the platform's
network must not let other hosts connect to them.

# Usage

	proxy := ctnode.NewProxy(settings, frontends, logger)
	err := proxy.Run(ctx)
*/
package ctnode
