/*
Package ctquota decides how many operations of each workspace may start, so that the
number summed over all proxies stays within the limit of the workspace in every sliding
window.

# Parts

A proxy at which the operations of a workspace are counted is a holder. A Share is a
holder's part of one workspace: a cap, which is a lease, and a log of the operations that
started in the last window. A Ledger is the knowledge of control's leader: the caps that it
has granted, and the charges for caps that were lowered or have expired.

# Safety

A holder starts an operation only while fewer than cap operations started in the window
before it. So it never started more in any window than its highest cap in that window. The
ledger therefore counts for each holder the highest cap that the holder may have used
within the last window, and grants increases only while the sum of these stays within
steadyPart of the ceiling. A lowered cap counts until the holder's next report confirms it,
and an expired one until its lease has certainly ended; both count for one more window.

A new leader does not know the caps of holders that it has not heard from. The caps that
holders report to it sum up to at most steadyPart of the ceiling, so that it may grant the
rest to anybody, until all that it does not know has expired. It grants none of the rest if
a leader before it may have done the same within that time.

# Usage

	ledger := ctquota.NewLedger(bounds, now, true)
	ledger.SetLimits(now, document.Workspaces)
	caps := ledger.Apply(now, ctquota.Report{...})
*/
package ctquota
