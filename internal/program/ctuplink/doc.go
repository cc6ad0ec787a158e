/*
Package ctuplink keeps a proxy in touch with control: it reports, takes the view
and the write leases that come back, and asks its peers for the view where
control can't be reached.

# Two streams

One stream carries the reports, at each heartbeat and at once when something
happened. The other waits for a newer view, so that a change is in force as soon
as control decides it.

# Relays

A proxy that reaches no control process asks through other proxies, which pass
its reports and watches on.

# Leases

A lease counts from the moment before its report was sent, and is shortened by
the difference that the rates of two clocks may have.

# Usage

	uplink := ctuplink.New(options)
	go uplink.Run(ctx)
	uplink.Announce(announcement)
*/
package ctuplink
