/*
Package ctthrottle implements client-side adaptive throttling. It keeps a proxy
from sending a member far more requests than the member accepts.

# Purpose

A holder that refuses a request spends a part of what serving one costs. Under
several times the load that the slots can serve, the refusals alone use up the
processors that the answers need.

# Algorithm

A Throttle counts the requests for a member and those that the member accepted.
Both counts decay with a half-life. Once the requests exceed a multiple of the
accepted ones, the Throttle refuses a random share of further requests. About
that multiple of the accepted requests is then sent. The multiple is above 1, so
that the proxy notices when the member accepts more again. Requests that the
Throttle refuses count as requests too.

# Usage

	var throttle ctthrottle.Throttle
	if throttle.Allow(now, random) {
		accepted := send()
		throttle.RecordAnswer(now, accepted)
	}
*/
package ctthrottle
