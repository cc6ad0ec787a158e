/*
Package ctadmit is the admission control for a member: it decides which waiting
request runs next, and which ones are refused. The holder of the member drives a
Queue with events and performs the effects that it returns.

# Limits

A member runs a limited number of statements at once (slots) and accepts a limited
number of connections. A Queue admits a request when a slot is free and a
connection is idle or may be opened. Requests of open transactions come first,
because their connections and locks block others. Other requests are admitted
round robin by caller, so that one caller's burst does not delay the rest.

# Early refusal

A new request is refused on arrival if the queue is full, or if the expected wait
reaches past the request's deadline. The expected wait is computed from the number
of requests ahead and the average time for which recent requests occupied a slot.

Requests of open transactions are not refused on arrival. Any waiting request is
refused at the first Tick after its deadline.

# Usage

	queue := ctadmit.Queue{Slots: 5, MaxConnections: 73}
	request := ctadmit.Request{Exchange: 9, Caller: "lab", Deadline: deadline}
	effects := queue.Step(now, request)
*/
package ctadmit
