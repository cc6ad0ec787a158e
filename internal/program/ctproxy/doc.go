/*
Package ctproxy puts a proxy process together: the entry for callers, the
holding of members, the uplink to control, and the HTTP server for announcements,
health and metrics.

# Planned stop

Stop makes the proxy unready to the balancer and leaving to its peers, ends idle
sessions, waits for those at work, hands the held members over, and returns.

# Usage

	proxy, err := ctproxy.Build(settings, logger)
	err = proxy.Run(ctx)
*/
package ctproxy
