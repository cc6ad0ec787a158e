/*
Package ctexperiment measures a fleet of real processes on loopback.

# Experiments

Path compares the path through the proxies with a direct connection to the
stand-in, in one run, and measures memory for idle callers. Failover measures
the gap between the last write acknowledged before a failure of the primary and
the first one after it. Idle measures what the processes spend on control while
no caller asks.

# Usage

	report, err := ctexperiment.Path(ctx, programs)
*/
package ctexperiment
