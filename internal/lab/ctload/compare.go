package ctload

import (
	"fmt"
	"strings"
)

// Compare returns a table with two results side by side. Its last column is the second
// value in percent of the first.
func Compare(before, after *Result) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%-18s %12s %12s %8s\n", "", "before", "after", "percent")
	line := func(name string, a, b float64) {
		fmt.Fprintf(&out, "%-18s %12.3f %12.3f %8s\n", name, a, b, formatPercent(a, b))
	}
	line("ran a second", before.Throughput, after.Throughput)
	line("in time a second", before.Goodput, after.Goodput)
	for _, k := range []Kind{KindRead, KindWrite} {
		a, b := before.Latencies[k], after.Latencies[k]
		if a.Count == 0 && b.Count == 0 {
			continue
		}
		line(string(k)+" p50 ms", millis(a.P50Micros), millis(b.P50Micros))
		line(string(k)+" p99 ms", millis(a.P99Micros), millis(b.P99Micros))
		line(string(k)+" max ms", millis(a.MaxMicros), millis(b.MaxMicros))
	}
	for _, o := range []Outcome{OutcomeRan, OutcomeNotRun, OutcomeUnknown} {
		line(string(o), float64(before.Outcomes[o]), float64(after.Outcomes[o]))
	}
	return out.String()
}

// formatPercent returns the second value in percent of the first, or a dash if the
// first is 0.
func formatPercent(before, after float64) string {
	if before == 0 {
		return "-"
	}
	const percent = 100
	return fmt.Sprintf("%.0f", percent*after/before)
}
