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
before it. So in any window that ends after a report, it starts at most its cap, or what the
report says had started before, whichever is more. The ledger counts that for each holder,
and grants increases only while the sum stays within steadyPart of the ceiling. A lowered
cap counts until the holder's next report confirms it. The cap of a holder that is not heard
of counts until its lease has certainly ended, and for one more window.

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
