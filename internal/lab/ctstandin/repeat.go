package ctstandin

import "math/rand/v2"

// maxRequestsBetween is the highest number of requests from an answer to its repetition.
const maxRequestsBetween = 4

// repeater repeats answers on one connection. Each repetition comes just before the answer
// to a later request, so that it arrives when another answer is expected.
type repeater struct {
	random   *rand.Rand
	answered int
	// answer is the one to repeat before the answer to the request that follows remaining
	// other requests; nil for none.
	answer    []byte
	remaining int
}

// recordAnswer counts an answer and keeps every nth one for repetition; none if every is 0.
func (r *repeater) recordAnswer(data []byte, every int) {
	r.answered++
	if every == 0 || r.answer != nil || r.answered%every != 0 {
		return
	}
	r.answer = data
	r.remaining = r.random.IntN(maxRequestsBetween)
}

// recordRequest counts a request and returns what must be sent before its answer.
func (r *repeater) recordRequest() []byte {
	if r.answer == nil {
		return nil
	}
	if r.remaining > 0 {
		r.remaining--
		return nil
	}
	due := r.answer
	r.answer = nil
	return due
}
