package ctload

import (
	"fmt"
	"strings"
)

// Compare renders two results side by side, with what the second one is of the
// first, in percent.
func Compare(before, after *Result) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%-18s %12s %12s %8s\n", "", "before", "after", "percent")
	line := func(name string, a, b float64) {
		fmt.Fprintf(&out, "%-18s %12.3f %12.3f %8s\n", name, a, b, percent(a, b))
	}
	line("ran a second", before.Throughput, after.Throughput)
	line("in time a second", before.Goodput, after.Goodput)
	for _, k := range []Kind{KindRead, KindWrite} {
		a, b := before.Latencies[k], after.Latencies[k]
		if a.Count == 0 && b.Count == 0 {
			continue
		}
		line(string(k)+" p50 ms", ms(a.P50Micros), ms(b.P50Micros))
		line(string(k)+" p99 ms", ms(a.P99Micros), ms(b.P99Micros))
		line(string(k)+" max ms", ms(a.MaxMicros), ms(b.MaxMicros))
	}
	for _, o := range []Outcome{OutcomeRan, OutcomeNotRun, OutcomeUnknown} {
		line(string(o), float64(before.Outcomes[o]), float64(after.Outcomes[o]))
	}
	return out.String()
}

// percent returns what b is of a, or a dash where a is nothing.
func percent(a, b float64) string {
	if a == 0 {
		return "-"
	}
	const whole = 100
	return fmt.Sprintf("%.0f", whole*b/a)
}
