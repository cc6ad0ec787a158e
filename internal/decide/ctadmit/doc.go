/*
Package ctadmit decides which requests a member gets, and when.

# Limits

A member runs a few statements at once (slots) and accepts a bounded number of
connections. A Queue admits a request when a slot is free and a connection is
idle or may be opened. Requests of open transactions come first, because they
hold connections and locks that others wait for; the others take turns by
caller, so that one caller's burst does not hold up the rest.

# Early refusal

A request is refused as soon as it is clear that it can't be started before its
deadline: when it arrives and the expected wait is longer than what remains, or
when the queue is full. The expected wait is what the requests in front of it
will take at the rate at which slots came free lately.

# Usage

	queue := ctadmit.Queue{Slots: 5, Budget: 73}
	effects := queue.Step(now, ctadmit.Ask{Exchange: 9, Caller: "lab", Deadline: deadline})
*/
package ctadmit
