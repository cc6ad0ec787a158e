/*
Package ctthrottle keeps a proxy from sending a member far more than the member
takes.

# Why

A holder that refuses a request spends a part of what serving one costs. Under
several times the load that the slots carry, refusals alone take the processors
that answers need.

# Rule

A Throttle counts the requests for a member and those that the member took, both
fading with a half-life. Once the requests are more than a multiple of those that
were taken, a share of further ones is refused here, so that about that multiple
is sent: some more than is taken, so that it is noticed when the member takes more
again. Requests that were refused here count as requests. This is client-side
adaptive throttling, as it is known from large services.

# Usage

	var throttle ctthrottle.Throttle
	if throttle.Allow(now, random) {
		taken := send()
		throttle.Answered(now, taken)
	}
*/
package ctthrottle
