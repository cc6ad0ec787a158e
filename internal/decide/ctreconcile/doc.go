/*
Package ctreconcile decides what a holder must do to a member so that the member
becomes what control decided.

# Level-triggered

Next compares the member's status with the group's decided state. It looks at
nothing else, so a holder that missed a step, or that took over a moment ago,
does the same as one that saw everything.

# Usage

	switch deed := ctreconcile.Next(member, status, group).(type) {
	case ctreconcile.Fence:
		...
	}
*/
package ctreconcile
