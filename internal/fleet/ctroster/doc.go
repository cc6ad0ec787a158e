/*
Package ctroster is the membership list on the leader of control. It records the
live proxies, the announced members, the groups and the configuration. It numbers
the versions of the view and returns the deltas between them.

# Versions

Each change of an entry gets a version of its own. DeltaSince returns the entries
that changed after a version and the names of removed ones. Proxies thus receive
a delta instead of the whole view. The upper bits of a version are the epoch of
the leader that issued it, so its versions are above those of all earlier leaders.

# Usage

	var roster ctroster.Roster
	roster.Reset(epoch)
	roster.ApplyReport(now, report)
	delta := roster.DeltaSince(report.Version, report.Revision)
*/
package ctroster
