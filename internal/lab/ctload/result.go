package ctload

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The bounds of the histograms, in microseconds, and their digits.
const (
	lowestMicros      = 1
	highestMicros     = 60_000_000
	significantDigits = 3
)

// Kind is the sort of a request.
type Kind string

// The kinds of requests.
const (
	KindRead  Kind = "read"
	KindWrite Kind = "write"
)

// Latency sums up the times of one kind of request, in microseconds.
type Latency struct {
	Count     int64 `json:"count"`
	P50Micros int64 `json:"p50_us"`
	P99Micros int64 `json:"p99_us"`
	MaxMicros int64 `json:"max_us"`
}

// Result is what a run of load measured.
type Result struct {
	ElapsedSeconds float64          `json:"seconds"`
	Latencies      map[Kind]Latency `json:"times"`
	// Outcomes counts requests by what the caller was told.
	Outcomes map[Outcome]int64 `json:"outcomes"`
	// Reasons counts the requests that did not run, or may not have, by the
	// reason that was told.
	Reasons map[string]int64 `json:"reasons,omitempty"`
	// Throughput is how many requests ran a second.
	Throughput float64 `json:"per_second"`
	// Goodput is how many of them ran within the time in which they
	// are of use.
	Goodput float64 `json:"in_time_per_second"`
	// Writes are the writes that were sent, with what their callers were told.
	Writes []Write `json:"-"`
}

// Write is a row that was to be inserted.
type Write struct {
	Group   string
	Key     string
	Outcome Outcome
}

// Table renders the result for a reader.
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

func millis(micros int64) float64 {
	return float64(micros) / float64(time.Millisecond/time.Microsecond)
}

// recorder gathers the times and outcomes of one session.
type recorder struct {
	histograms   map[Kind]*hdrhistogram.Histogram
	outcomes     map[Outcome]int64
	reasons      map[string]int64
	latencyLimit time.Duration
	withinLimit  int64
	writes       []Write
}

// newRecorder returns an empty recorder; limit is the time in which a request
// is of use, or 0 for any.
func newRecorder(latencyLimit time.Duration) *recorder {
	return &recorder{
		histograms:   make(map[Kind]*hdrhistogram.Histogram),
		outcomes:     make(map[Outcome]int64),
		reasons:      make(map[string]int64),
		latencyLimit: latencyLimit,
	}
}

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

// mergeRecorders joins the recorders of all sessions.
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

		Goodput: float64(merged.withinLimit) / elapsed.Seconds(),
		Writes:  merged.writes,
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
