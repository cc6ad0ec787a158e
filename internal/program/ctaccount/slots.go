package ctaccount

// Slots limits how many large answers arrive from members at once. nil means no limit.
type Slots struct {
	// taken has an entry for each slot in use.
	taken chan struct{}
}

// NewSlots returns a number of free slots, or nil if the number is 0.
func NewSlots(count int) *Slots {
	if count == 0 {
		return nil
	}
	return &Slots{taken: make(chan struct{}, count)}
}

// Acquire waits for a slot, and reports false if done is closed first.
func (s *Slots) Acquire(done <-chan struct{}) bool {
	if s == nil {
		return true
	}
	select {
	case s.taken <- struct{}{}:
		return true
	case <-done:
		return false
	}
}

// Release frees a slot that was acquired.
func (s *Slots) Release() {
	if s != nil {
		<-s.taken
	}
}
