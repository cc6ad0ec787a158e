package ctload

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The bounds of the histograms, in microseconds, and their digits.
const (
	lowest  = 1
	highest = 60_000_000
	digits  = 3
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
		t, ok := r.Latencies[k]
		if !ok {
			continue
		}
		fmt.Fprintf(&out, "%-6s %9d %9.3f %9.3f %9.3f\n", k, t.Count, ms(t.P50Micros), ms(t.P99Micros), ms(t.MaxMicros))
	}
	fmt.Fprintf(&out, "%.0f requests a second ran, %.0f in time; outcomes: %v\n",
		r.Throughput, r.Goodput, r.Outcomes)
	return out.String()
}

func ms(us int64) float64 {
	return float64(us) / float64(time.Millisecond/time.Microsecond)
}

// recorder gathers the times and outcomes of one session.
type recorder struct {
	times    map[Kind]*hdrhistogram.Histogram
	outcomes map[Outcome]int64
	reasons  map[string]int64
	limit    time.Duration
	inTime   int64
	writes   []Write
}

// newRecorder returns an empty recorder; limit is the time in which a request
// is of use, or 0 for any.
func newRecorder(limit time.Duration) *recorder {
	return &recorder{
		times:    make(map[Kind]*hdrhistogram.Histogram),
		outcomes: make(map[Outcome]int64),
		reasons:  make(map[string]int64),
		limit:    limit,
	}
}

func (r *recorder) record(kind Kind, taken time.Duration, outcome Outcome) {
	r.outcomes[outcome]++
	if outcome != OutcomeRan {
		return
	}
	if r.limit == 0 || taken <= r.limit {
		r.inTime++
	}
	h, ok := r.times[kind]
	if !ok {
		h = hdrhistogram.New(lowest, highest, digits)
		r.times[kind] = h
	}
	_ = h.RecordValue(max(lowest, taken.Microseconds()))
}

// sum joins the recorders of all sessions.
func sum(recorders []*recorder, taken time.Duration) *Result {
	joined := newRecorder(0)
	for _, r := range recorders {
		for kind, h := range r.times {
			if joined.times[kind] == nil {
				joined.times[kind] = hdrhistogram.New(lowest, highest, digits)
			}
			joined.times[kind].Merge(h)
		}
		for outcome, count := range r.outcomes {
			joined.outcomes[outcome] += count
		}
		for reason, count := range r.reasons {
			joined.reasons[reason] += count
		}
		joined.inTime += r.inTime
		joined.writes = append(joined.writes, r.writes...)
	}
	result := &Result{
		ElapsedSeconds: taken.Seconds(),
		Latencies:      make(map[Kind]Latency),
		Outcomes:       joined.outcomes,
		Reasons:        joined.reasons,
		Throughput:     float64(joined.outcomes[OutcomeRan]) / taken.Seconds(),

		Goodput: float64(joined.inTime) / taken.Seconds(),
		Writes:  joined.writes,
	}
	const half, most = 50, 99
	for kind, h := range joined.times {
		result.Latencies[kind] = Latency{
			Count:     h.TotalCount(),
			P50Micros: h.ValueAtPercentile(half),
			P99Micros: h.ValueAtPercentile(most),
			MaxMicros: h.Max(),
		}
	}
	return result
}
