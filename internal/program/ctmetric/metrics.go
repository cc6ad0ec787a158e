package ctmetric

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// prefix begins the names of all metrics.
const prefix = "cherviltrestle"

// The first bucket of the time histograms and their number; each bucket is
// twice as wide as the one before.
const (
	firstBucketSeconds = 0.0005
	bucketCount        = 16
)

// Metrics holds the metrics of one process.
type Metrics struct {
	Registry *prometheus.Registry

	// Sessions counts the callers' sessions that are open.
	Sessions prometheus.Gauge
	// Requests counts ended requests by group, role and outcome.
	Requests *prometheus.CounterVec
	// RequestSeconds measures requests at the entry by role.
	RequestSeconds *prometheus.HistogramVec
	// Retries counts retries by reason.
	Retries *prometheus.CounterVec
	// WaitingRequests, Running and Open describe the members that this process holds.
	WaitingRequests *prometheus.GaugeVec
	RunningRequests *prometheus.GaugeVec
	Connections     *prometheus.GaugeVec
	// Refusals counts refusals at the holder by member and reason.
	Refusals *prometheus.CounterVec
	// ConfirmSeconds measures the wait for the confirmation of writes.
	ConfirmSeconds prometheus.Histogram
	// ViewVersion is the version of the view in force.
	ViewVersion prometheus.Gauge
	// Revision is the configuration in force.
	Revision prometheus.Gauge
	// Reports counts reports to control by result.
	Reports *prometheus.CounterVec
}

// New registers the metrics.
func New(registry *prometheus.Registry) *Metrics {
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	f := factory{registry: registry}
	return &Metrics{
		Registry:        registry,
		Sessions:        f.gauge("sessions", "Open sessions of callers."),
		Requests:        f.counterVec("requests_total", "Ended requests.", "group", "role", "outcome"),
		RequestSeconds:  f.histogramVec("request_seconds", "Time of requests at the entry.", "role"),
		Retries:         f.counterVec("retries_total", "Retries of requests.", "reason"),
		WaitingRequests: f.gaugeVec("member_waiting", "Requests that wait for a member.", "member"),
		RunningRequests: f.gaugeVec("member_running", "Requests that run on a member.", "member"),
		Connections:     f.gaugeVec("member_connections", "Connections to a member.", "member"),
		Refusals:        f.counterVec("member_refused_total", "Requests refused at the holder.", "member", "reason"),
		ConfirmSeconds:  f.histogram("confirm_seconds", "Wait for the confirmation of writes."),
		ViewVersion:     f.gauge("view_version", "Version of the view in force."),
		Revision:        f.gauge("config_revision", "Revision of the configuration in force."),
		Reports:         f.counterVec("reports_total", "Reports to control.", "result"),
	}
}

// Handler serves the metrics over HTTP.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{})
}

// factory makes registered metrics.
type factory struct {
	registry *prometheus.Registry
}

func (f factory) gauge(name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: prefix, Name: name, Help: help})
	f.registry.MustRegister(g)
	return g
}

func (f factory) gaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: prefix, Name: name, Help: help}, labels)
	f.registry.MustRegister(g)
	return g
}

func (f factory) counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: prefix, Name: name, Help: help}, labels)
	f.registry.MustRegister(c)
	return c
}

func (f factory) histogramOptions(name, help string) prometheus.HistogramOpts {
	return prometheus.HistogramOpts{
		Namespace: prefix,
		Name:      name,
		Help:      help,
		Buckets:   prometheus.ExponentialBuckets(firstBucketSeconds, 2, bucketCount),
	}
}

func (f factory) histogram(name, help string) prometheus.Histogram {
	h := prometheus.NewHistogram(f.histogramOptions(name, help))
	f.registry.MustRegister(h)
	return h
}

func (f factory) histogramVec(name, help string, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(f.histogramOptions(name, help), labels)
	f.registry.MustRegister(h)
	return h
}
