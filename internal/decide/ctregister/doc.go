/*
Package ctregister is the state that control keeps for good: the accepted
configurations and the groups' primaries and terms.

# Commands

The register changes only through commands, which the replicated log puts into
one order. Apply gives the same result on every control process. A command that
is applied twice, because an operator sent it again after losing the answer,
gets the result of the first time.

# Usage

	var register ctregister.Register
	result := register.Apply(ctregister.Configure{Change: change, At: now})
*/
package ctregister
