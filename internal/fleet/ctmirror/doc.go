/*
Package ctmirror is the copy of the leader's view that another process of control has.
That process answers the proxies' requests for newer views from the copy, so that the
leader's work does not grow with the number of proxies.

# Bases of deltas

A mirror retains the views that it had recently. A proxy that has one of them receives
the difference between it and the newest view, even if another leader issued it. Any
other proxy receives the whole view.

# Usage

	var mirror ctmirror.Mirror
	err := mirror.Apply(delta)
	delta, known := mirror.DeltaSince(version, revision)
*/
package ctmirror
