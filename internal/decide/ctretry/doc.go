/*
Package ctretry limits how often requests are retried, with a retry budget and an
exponential backoff with jitter.

# Budget

Each request deposits a fraction of a retry in a Budget, and each retry withdraws
a whole one. Retries therefore stay a small share of the load when all requests
fail at the same time.

# Backoff

The delay before a retry doubles with each try, up to a limit. A random source of
the caller adds the jitter.

# Usage

	var budget ctretry.Budget
	budget.Deposit()
	if budget.TryWithdraw() {
		timer.Reset(ctretry.Backoff(attempt, random))
	}
*/
package ctretry
