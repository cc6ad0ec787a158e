/*
Package ctaccount keeps the clients of a listener within the limits of package ctbudget: it has an
account for each client, and closes those that the ledger evicts.

# Concurrency

An Account's methods may be called concurrently. They close evicted clients after the lock of the
Accounts is released. All methods of a nil Account do nothing and grant everything.

# Usage

	accounts := ctaccount.New(ctaccount.Options{Listener: "callers", Limits: limits, Clock: clock, ...})
	account, ok := accounts.Open(func() { socket.Close() })
	if !ok {
		...
	}
	defer account.Close()
	if !account.Charge(ctbudget.UseMessage, 1<<20) {
		...
	}
*/
package ctaccount
