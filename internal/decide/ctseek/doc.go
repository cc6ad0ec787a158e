/*
Package ctseek decides which process of control a proxy connects to, and how long it
waits between attempts.

# Order

A proxy prefers processes that are near, and among those the ones that a hash of both
addresses puts first. The proxies therefore spread over the processes, and each keeps to
its own. An attempt that fails is followed by one at the next process in the order. Once
all have failed, most attempts go to other proxies, which relay.

# Pacing

The delay between two attempts doubles with each round through all processes, up to a
limit, and is random. Proxies that lost control at the same moment thus neither return
at the same moment nor keep a process that starts from answering the others.

A process that can't answer now tells the proxy when to call again. The proxy keeps its stream
and waits for that time and a random part of it more. After a few such replies it tries another
process.

# Usage

	seeker := ctseek.Seeker{Self: self, Random: random}
	switch t := seeker.Next(controls, relays).(type) {
	case ctseek.Control:
		...
	case ctseek.Relay:
		...
	}
	seeker.RecordFailure()
	timer.Reset(seeker.Delay())
*/
package ctseek
