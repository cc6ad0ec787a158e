/*
Package ctnode runs the processes of a fleet whose VMs find each other from a few
seeds and whose front ends, towards callers, members and operators, are given to
it.

# Names and addresses

A process is named by its IP number, and all processes take the connections of
their peers at the same port, so that a name is enough to reach a process. No
keys are given to the processes: their connections are not encrypted, and the
platform's network has to keep strangers out.

# Usage

	proxy := ctnode.NewProxy(settings, fronts, logger)
	err := proxy.Run(ctx)
*/
package ctnode
