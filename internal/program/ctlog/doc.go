/*
Package ctlog configures the structured log of a process. It writes JSON lines.

# Decisions

Every routing and placement decision is one line at level info. It has the fields
event, decision and why, and request if the decision concerns a request. With the
request's id, an operator can trace the request through all processes.

# Usage

	logger := ctlog.New(os.Stderr, "info", "proxy", "proxy-1")
	ctlog.Decision(&logger, "route").Str("why", "write_needs_primary").Send()
*/
package ctlog
