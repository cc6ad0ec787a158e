/*
Package ctholderjudge judges the promotion requests that a service receives: one holder at a
time may send them for a group, and later holders have higher epochs. It has no excuse for an
epoch that is shared or falls. Turns of two holders count only while both are undisturbed.

# Usage

	judge := ctholderjudge.Judge{InTouch: inTouch}
	for _, violation := range judge.Record(request) {
		switch violation.(type) {
		case ctholderjudge.SharedEpoch:
			...
		}
	}
*/
package ctholderjudge
