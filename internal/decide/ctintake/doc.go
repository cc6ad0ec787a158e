/*
Package ctintake is the admission control of a control process: it decides which of the frames
that arrive are handled next, and which are rejected or not answered at all.

# Purpose

A proxy gives up a report that is not answered in time, and reports again. A process that
handles reports in the order of their arrival then works on those whose senders have given up,
while new ones arrive. Once that has begun, nothing is answered in time any more, also after
the cause is gone. A Queue therefore rejects what it can't handle in time before it is decoded,
and tells the sender when to try again. The times that it gives are spread at the rate at
which frames are handled.

# Priorities

Messages of the replicated log are never queued. Of the other frames, those of control processes
come first: they carry the calls of operators and the reports of many proxies. Reports
of proxies that were answered before come next, because they extend authority, and then first
reports. A share of the slots goes to the frames that have waited longest, so that none waits
forever.

# Connections

A Gate bounds the connections that are accepted in a second. It matters only where peers don't
follow the times that they are given. An address that had no connection for a while is accepted
beyond that bound: a control process that is new is known to nobody yet, and must reach the others
however many proxies try. Recent holds the addresses that have had one.

# Usage

	queue := ctintake.Queue{Slots: 4, MaxWait: 100 * time.Millisecond}
	for _, effect := range queue.Step(now, ctintake.Arrival{Ticket: 1, Work: ctintake.Renewal{}}) {
		switch e := effect.(type) {
		case ctintake.Start:
			...
		case ctintake.Reject:
			...
		case ctintake.Drop:
			...
		}
	}
*/
package ctintake
