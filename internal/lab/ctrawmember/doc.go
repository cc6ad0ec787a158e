/*
Package ctrawmember has members that misbehave, as Go values behind ctpools.Dialer, to test what
proxies and control make of their answers without a network or an encoding.

# Members

A Session works at a member that sends a third of its answers twice, at any later moment, and
judges each answer by what the member knows of its query. Losing loses the answer to a write,
Setting refuses parameters, Garbled sends what is no answer, Burst answers while its queries are
still being written, and Numbered numbers its statuses and repeats some of them. A Forwarder is
the proxy that forwards queries to a member, with any replies.

# Usage

	session := ctrawmember.NewSession(seed, false)
	err := session.Operate()
	...
	tally := session.Tally()
	if tally.Wrong() > 0 {
		...
	}
*/
package ctrawmember
