/*
Package ctquota decides how many operations of each workspace may start, so that the
number summed over all proxies stays within the limit of the workspace in every sliding
window.

# Load

The package answers a workspace that sends more than its limit through many proxies at once, and
whose demand moves between them. Asking control for each operation would add a round trip to it.

# Parts

A proxy at which the operations of a workspace are counted is a holder. A Share is a
holder's part of one workspace: a cap, which is a lease, and a log of the operations that
started in the last window. A Ledger is the knowledge of control's leader: the caps that it
has granted, and the charges for caps that were lowered or have expired.

# Safety

A holder starts an operation only while fewer than cap operations started in the window
before it. So in any window that ends after a report, it starts at most its cap, or what the
report says had started before, whichever is more. The ledger counts that for each holder,
and grants increases only while the sum stays within the ceiling and the workspace's mark. A
lowered cap counts until the holder's next report confirms it. The cap of a holder that is
not heard of counts until its lease has certainly ended, and for one more window.

A new leader does not know the caps of holders that it has not heard from. A mark bounds
their sum: it is part of control's replicated log, and a leader grants more than the mark only
after a higher one is durable. Until all that it does not know has expired, a new leader
renews the caps that holders report, and grants others from what lies between the mark that it
found and the one in force now. Marks follow the demand with some headroom, so that after a
loss of power, when no holder has a cap any more, most of the usual demand is served at once.

# Usage

	ledger := ctquota.NewLedger(bounds, now, register.QuotaMarks)
	ledger.SetLimits(document.Workspaces)
	grant := ledger.Apply(now, &ctquota.Report{...})
*/
package ctquota
