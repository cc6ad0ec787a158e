/*
Package ctfresh keeps samples of a group's log, taken at its primary, and tells
which point a read must find applied so that it shows all commits acknowledged
before a stated time.

A sample counts from the moment before its query was sent, on the clock of the
process that sent it: every commit that was acknowledged before that moment lies
at or before the sample's point. No two clocks are compared.

# Usage

	samples.Add(sent, point)
	need, ok := samples.Need(now.Add(-staleness))
*/
package ctfresh
