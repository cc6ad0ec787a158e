/*
Package ctexperiment measures a fleet of real processes on loopback.

# Experiments

Path compares the path through the proxies with a direct connection to the
stand-in, in one run, and measures memory for idle callers. Failover measures
the longest time between two acknowledged writes while a primary, or control's
leader, fails. Idle measures what the processes spend on control while no caller
asks. Share and Overload put load on the fleet of a deployment: how many reads
replicas serve, and what runs when far too much is asked. Daemons runs the uplinks
of many proxies in this process against a control process, and Peers measures
connections that are not used.

# Usage

	report, err := ctexperiment.Path(ctx, programs)
	deployment, err := ctexperiment.DeploymentNamed("fit-registry")
	reports, err := ctexperiment.Share(ctx, programs, deployment, deployment.Between)
*/
package ctexperiment
