/*
Package ctexperiment measures the performance of the proxy and its control plane.
It starts fleets of real processes on loopback, with stand-ins for the backend
servers, and returns reports of latency, throughput, memory, processor time and
traffic.

# Experiments

  - Path compares requests through a proxy with requests on a direct connection
    to a stand-in. It also measures a proxy's memory for each idle session.
  - Failover measures the longest time between two acknowledged writes while a
    primary or control's leader fails.
  - Idle measures processor time, memory and traffic of a fleet without sessions.
  - ReplicaReads measures the share of reads that replicas serve in the fleet of
    a deployment.
  - Overload measures throughput and goodput in the fleet of a deployment, up to
    four times its capacity.
  - Uplinks runs the uplinks of many proxies in this process against one control
    process.
  - PeerConnections measures memory and traffic of unused connections between
    processes.

# Usage

	report, err := ctexperiment.Path(ctx, binFolder)
	deployment, err := ctexperiment.FindDeployment("fit-registry")
	reports, err := ctexperiment.ReplicaReads(ctx, binFolder, deployment, deployment.DomainDelay)

The folder binFolder contains the programs cherviltrestle and ctlab.
*/
package ctexperiment
