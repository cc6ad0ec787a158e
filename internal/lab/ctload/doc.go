/*
Package ctload generates load on proxies, or directly on a backend server. It
measures throughput, goodput, latencies and outcomes of the requests, and compares
results.

# Open and closed loops

With a rate, the load is an open loop: each request has a scheduled start, which
doesn't depend on earlier requests. Its latency counts from that scheduled start. If
a slow server delays the requests after it, the delay is part of their latencies. A
session sends one request at a time, so there must be enough sessions for the rate.

Without a rate, the load is a closed loop: each session sends its next request when
the last one has ended.

# Usage

	options := ctload.Options{Addresses: addresses, Groups: groups, Sessions: 20, Duration: 5 * time.Second}
	result, err := ctload.Run(ctx, options)
	fmt.Println(result.Table())
	fmt.Println(ctload.Compare(earlier, result))
*/
package ctload
