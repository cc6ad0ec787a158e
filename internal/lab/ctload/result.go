package ctload

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms.
const (
	lowestMicros      = 1
	highestMicros     = 60_000_000
	significantDigits = 3
)

// Kind is the kind of a request.
type Kind string

// Kinds of requests.
const (
	KindRead  Kind = "read"
	KindWrite Kind = "write"
)

// Latency summarizes the latencies of the requests of one kind that ran.
type Latency struct {
	Count     int64 `json:"count"`
	P50Micros int64 `json:"p50_us"`
	P99Micros int64 `json:"p99_us"`
	MaxMicros int64 `json:"max_us"`
}

// Result is the result of a load.
type Result struct {
	ElapsedSeconds float64 `json:"seconds"`
	// Latencies has no entry for a kind if no request of that kind ran.
	Latencies map[Kind]Latency `json:"times"`
	// Outcomes counts the requests by outcome.
	Outcomes map[Outcome]int64 `json:"outcomes"`
	// Reasons counts the requests that a server answered with an error, by the reason
	// or the code of the error.
	Reasons map[string]int64 `json:"reasons,omitempty"`
	// Throughput is the number of requests that ran, per second.
	Throughput float64 `json:"per_second"`
	// Goodput is the number of requests that ran within the latency limit, per second.
	Goodput float64 `json:"in_time_per_second"`
	// Writes has all writes that were sent. Those of a session are in the order in
	// which it sent them.
	Writes []Write `json:"-"`
}

// Write is the insertion of one row.
type Write struct {
	Group   string
	Key     string
	Outcome Outcome
}

// Table returns the result as a text with a table of latencies in milliseconds.
func (r *Result) Table() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%-6s %9s %9s %9s %9s\n", "kind", "count", "p50 ms", "p99 ms", "max ms")
	for _, k := range []Kind{KindRead, KindWrite} {
		latency, ok := r.Latencies[k]
		if !ok {
			continue
		}
		fmt.Fprintf(&out, "%-6s %9d %9.3f %9.3f %9.3f\n", k, latency.Count,
			millis(latency.P50Micros), millis(latency.P99Micros), millis(latency.MaxMicros))
	}
	fmt.Fprintf(&out, "%.0f requests a second ran, %.0f in time; outcomes: %v\n",
		r.Throughput, r.Goodput, r.Outcomes)
	return out.String()
}

// millis converts microseconds to milliseconds.
func millis(micros int64) float64 {
	return float64(micros) / float64(time.Millisecond/time.Microsecond)
}

// recorder collects the latencies and outcomes of one session. It has no lock: only
// that session's goroutine uses it until the session has ended.
type recorder struct {
	histograms   map[Kind]*hdrhistogram.Histogram
	outcomes     map[Outcome]int64
	reasons      map[string]int64
	latencyLimit time.Duration
	withinLimit  int64
	writes       []Write
}

// newRecorder returns an empty recorder. Requests up to the latency limit count as
// goodput; 0 is no limit.
func newRecorder(latencyLimit time.Duration) *recorder {
	return &recorder{
		histograms:   make(map[Kind]*hdrhistogram.Histogram),
		outcomes:     make(map[Outcome]int64),
		reasons:      make(map[string]int64),
		latencyLimit: latencyLimit,
	}
}

// record records a request. Its latency counts only if it ran.
func (r *recorder) record(kind Kind, latency time.Duration, outcome Outcome) {
	r.outcomes[outcome]++
	if outcome != OutcomeRan {
		return
	}
	if r.latencyLimit == 0 || latency <= r.latencyLimit {
		r.withinLimit++
	}
	h, ok := r.histograms[kind]
	if !ok {
		h = hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
		r.histograms[kind] = h
	}
	_ = h.RecordValue(max(lowestMicros, latency.Microseconds()))
}

// mergeRecorders merges the recorders of all sessions into a result.
func mergeRecorders(recorders []*recorder, elapsed time.Duration) *Result {
	merged := newRecorder(0)
	for _, r := range recorders {
		for kind, h := range r.histograms {
			if merged.histograms[kind] == nil {
				merged.histograms[kind] = hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
			}
			merged.histograms[kind].Merge(h)
		}
		for outcome, count := range r.outcomes {
			merged.outcomes[outcome] += count
		}
		for reason, count := range r.reasons {
			merged.reasons[reason] += count
		}
		merged.withinLimit += r.withinLimit
		merged.writes = append(merged.writes, r.writes...)
	}
	result := &Result{
		ElapsedSeconds: elapsed.Seconds(),
		Latencies:      make(map[Kind]Latency),
		Outcomes:       merged.outcomes,
		Reasons:        merged.reasons,
		Throughput:     float64(merged.outcomes[OutcomeRan]) / elapsed.Seconds(),
		Goodput:        float64(merged.withinLimit) / elapsed.Seconds(),
		Writes:         merged.writes,
	}
	const p50, p99 = 50, 99
	for kind, h := range merged.histograms {
		result.Latencies[kind] = Latency{
			Count:     h.TotalCount(),
			P50Micros: h.ValueAtPercentile(p50),
			P99Micros: h.ValueAtPercentile(p99),
			MaxMicros: h.Max(),
		}
	}
	return result
}
