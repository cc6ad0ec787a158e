package ctretry

// The terms of a budget, in hundredths of a retry.
const (
	// depositPerRequest allows one retry for five requests.
	depositPerRequest = 20
	// retryCost is one retry.
	retryCost = 100
	// maxBalance is what a quiet proxy saves up at most.
	maxBalance = 100 * retryCost
)

// Limiter says how many retries are allowed.
type Limiter interface {
	// Deposit counts one request.
	Deposit()
	// TryWithdraw takes one retry and reports whether it is allowed.
	TryWithdraw() bool
}

// Budget counts the retries that are still allowed. Its zero value allows
// maxSaved, as after a long quiet time.
type Budget struct {
	spent int
}

// Deposit counts one request.
func (b *Budget) Deposit() {
	b.spent = max(0, b.spent-depositPerRequest)
}

// TryWithdraw takes one retry and reports whether the budget allows it.
func (b *Budget) TryWithdraw() bool {
	if b.spent+retryCost > maxBalance {
		return false
	}
	b.spent += retryCost
	return true
}
