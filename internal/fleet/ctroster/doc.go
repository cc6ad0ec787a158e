/*
Package ctroster keeps, on the leader of control, which proxies live and which
members announced themselves, and numbers the versions of the view.

# Versions

Each change of an entry gets a version of its own. Since returns the entries
that changed after a version, and the names of those that went away, so that a
proxy gets a delta and not the whole view. The first version of a leader lies
above all versions of earlier leaders, because it begins with the leader's
epoch.

# Usage

	var roster ctroster.Roster
	roster.Begin(epoch)
	roster.Hear(now, report)
	delta := roster.Since(report.Version, report.Revision)
*/
package ctroster
