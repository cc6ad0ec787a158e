/*
Package ctproxy assembles and runs a proxy process. It joins the entry for
callers, the holder of members, the uplink to control, and the HTTP server for
announcements, health and metrics.

# Planned stop

A planned stop begins when the context of Run ends. The proxy becomes unready for
the load balancer and reports the state "leaving". It stops accepting callers,
ends idle sessions and waits for active ones. It then drains the held members,
deregisters from control and stays a little longer for its peers.

# Usage

	proxy, err := ctproxy.Build(settings, clock, logger)
	err = proxy.Run(ctx)
*/
package ctproxy
