package ctaccount

import "github.com/cherviltrestle/cherviltrestle/internal/decide/ctbudget"

// Usage is what a client holds for a use that often stays the same or is small, such as the state
// of its session. It saves the calls of Charge that change nothing. It must not be used concurrently.
type Usage struct {
	Account *Account
	Use     ctbudget.Use
	// Uncounted is the amount up to which nothing is charged. The limit on the number of clients
	// covers it.
	Uncounted ctbudget.Bytes

	charged ctbudget.Bytes
}

// Set charges for an amount in place of that of the last call. It reports whether the client may
// hold that, and changes nothing if not.
func (u *Usage) Set(amount ctbudget.Bytes) bool {
	if amount <= u.Uncounted {
		amount = 0
	}
	if amount == u.charged {
		return true
	}
	if !u.Account.Charge(u.Use, amount) {
		return false
	}
	u.charged = amount
	return true
}
