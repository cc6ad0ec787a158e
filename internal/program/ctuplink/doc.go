/*
Package ctuplink is a proxy's client of the control plane. It sends reports to
control and applies the view deltas, write leases and authority in the replies.
While the proxy has no view and control can't be reached, it fetches the view from
peer proxies.

# Two streams

One stream carries the reports: one at each heartbeat, and one at once when
something has changed. The other stream waits for a newer view, so that a change
takes effect as soon as control has decided it. Only the reports seek a process of
control, with the order and the pauses of package ctseek. The other stream goes to the
process that answers them.

# Relays

A proxy that reaches no control process sends its reports and watches to another
proxy, which forwards them to control.

# Leases

Write leases and authority run from the moment before their report was sent. They
are shortened by ctdrift.LowerBound, because the clocks of two processes may run at
different rates.

# Usage

	uplink := ctuplink.New(options)
	go uplink.Run(ctx)
	uplink.Announce(announcement)
*/
package ctuplink
