package ctretry

// The terms of a budget, in hundredths of a retry.
const (
	// earnedPerRequest allows one retry for five requests.
	earnedPerRequest = 20
	// costOfRetry is one retry.
	costOfRetry = 100
	// maxSaved is what a quiet proxy saves up at most.
	maxSaved = 100 * costOfRetry
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
	b.spent = max(0, b.spent-earnedPerRequest)
}

// TryWithdraw takes one retry and reports whether the budget allows it.
func (b *Budget) TryWithdraw() bool {
	if b.spent+costOfRetry > maxSaved {
		return false
	}
	b.spent += costOfRetry
	return true
}
