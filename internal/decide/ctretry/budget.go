package ctretry

// The amounts of a budget are in hundredths of a retry.
const (
	// depositPerRequest allows one retry for every five requests.
	depositPerRequest = 20
	// retryCost is the amount that one retry withdraws.
	retryCost = 100
	// maxBalance is the highest balance, which limits a burst to 100 retries.
	maxBalance = 100 * retryCost
)

// Limiter limits the number of retries.
type Limiter interface {
	// Deposit credits one request.
	Deposit()
	// TryWithdraw reports whether a retry is allowed, and then withdraws it.
	TryWithdraw() bool
}

// Budget is a Limiter that allows retries in proportion to the requests. Its zero
// value has the balance maxBalance. It must not be used concurrently.
type Budget struct {
	// spent is how far the balance is below maxBalance.
	spent int
}

// Deposit credits one request.
func (b *Budget) Deposit() {
	b.spent = max(0, b.spent-depositPerRequest)
}

// TryWithdraw reports whether the balance allows a retry, and then withdraws it.
func (b *Budget) TryWithdraw() bool {
	if b.spent+retryCost > maxBalance {
		return false
	}
	b.spent += retryCost
	return true
}
