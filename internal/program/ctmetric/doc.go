/*
Package ctmetric holds the metrics of the processes.

# Names

Every metric has the prefix cherviltrestle_. Times are in seconds. Labels have
few values: names of groups and members, roles, outcomes and reasons.

# Usage

	metrics := ctmetric.New(prometheus.NewRegistry())
	metrics.Requests.WithLabelValues("fit-registry", "replica", "ran").Inc()
*/
package ctmetric
