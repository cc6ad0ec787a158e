/*
Package ctretry limits how often requests are tried again.

# Budget

A Budget earns a fraction of a retry with each request and spends one with each
retry, so that retries stay a small share of the load when everything fails at
once. Waits between retries grow and are spread by a random source that the
caller gives.

# Usage

	var budget ctretry.Budget
	budget.Earn()
	if budget.Spend() {
		wait := ctretry.Wait(attempt, random)
	}
*/
package ctretry
