/*
Package ctlog writes the logs: JSON lines, one for each decision.

# Decisions

Every routing and placement decision is one line at level info with the fields
event, decision and why, and the request where there is one, so that an
operator can follow a request by its id through all processes.

# Usage

	logger := ctlog.New(os.Stderr, "info", "proxy", "proxy-1")
	ctlog.Decision(logger, "route").Str("why", "write_needs_primary").Send()
*/
package ctlog
