/*
Package ctreconcile decides what a holder must do to a member to bring it into
the state that control decided for its group.

# Level-triggered

Next compares the member's status with the group's decided state. It depends on
nothing else. A holder that missed a step, or that has just taken over, therefore
chooses the same action as one that saw every step.

# Usage

	switch action := ctreconcile.Next(member, status, group).(type) {
	case ctreconcile.Fence:
		...
	}
*/
package ctreconcile
