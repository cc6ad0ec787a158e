/*
Package ctmetric defines the Prometheus metrics of proxy and control processes.

# Names

Every metric has the prefix cherviltrestle_. Times are in seconds. Labels have
low cardinality: names of groups and members, roles, outcomes and reasons.

# Usage

	metrics := ctmetric.New(prometheus.NewRegistry())
	metrics.Requests.WithLabelValues("fit-registry", "replica", "ran").Inc()
*/
package ctmetric
