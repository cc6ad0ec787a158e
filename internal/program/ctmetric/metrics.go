package ctmetric

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// prefix is the namespace of all metrics.
const prefix = "cherviltrestle"

// The upper bound of the first bucket of the time histograms, and the number of
// buckets. Each bound is twice the one before.
const (
	firstBucketSeconds = 0.0005
	bucketCount        = 16
)

// The help of the metrics that proxy and control processes share.
const (
	panicsHelp         = "Connections that ended because their goroutine panicked."
	answersInDoubtHelp = "Answers of members that did not belong to their queries."
)

// Metrics holds the Prometheus metrics of a proxy process.
type Metrics struct {
	Registry *prometheus.Registry

	// Sessions counts the callers' sessions that are open.
	Sessions prometheus.Gauge
	// Requests counts completed requests by group, role and outcome.
	Requests *prometheus.CounterVec
	// RequestSeconds measures the time of requests at the entry, by role.
	RequestSeconds *prometheus.HistogramVec
	// Retries counts requests that were sent and then refused or answered with a fault,
	// by reason. Such a request is usually sent again, but it is counted either way.
	Retries *prometheus.CounterVec
	// MalformedQueries counts queries that were answered without a member because their text
	// can't be decoded or passed on, by reason.
	MalformedQueries *prometheus.CounterVec
	// WaitingRequests is the number of requests in the queue of each member.
	WaitingRequests *prometheus.GaugeVec
	// RunningRequests is the number of requests that run on each member.
	RunningRequests *prometheus.GaugeVec
	// Connections is the number of connections to each held member.
	Connections *prometheus.GaugeVec
	// Refusals counts requests refused by the process that has the member's connections, by
	// member and reason.
	Refusals *prometheus.CounterVec
	// ConfirmSeconds measures how long committed writes wait for confirmation.
	ConfirmSeconds prometheus.Histogram
	// Samples counts the samples of groups' logs by source.
	Samples *prometheus.CounterVec
	// SamplesDropped counts answers that were no samples, because their members may not
	// have been primaries any more, by source.
	SamplesDropped *prometheus.CounterVec
	// GuardedCommits counts the queries whether a member that may be promoted at any moment
	// holds a commit, by result.
	GuardedCommits *prometheus.CounterVec
	// AnswersInDoubt counts the answers of members that did not belong to their queries,
	// by the kind of doubt. DoubtfulReopens counts the connections that were opened after
	// one was closed for such an answer.
	AnswersInDoubt  *prometheus.CounterVec
	DoubtfulReopens prometheus.Counter
	// EvictedConnections counts the connections that were closed to make room for another
	// workspace, and RateLimited the operations refused because of a workspace's limit.
	EvictedConnections prometheus.Counter
	RateLimited        prometheus.Counter
	// QuotaOperations counts operations by workspace and result: admitted or rejected at
	// once, or expired after a wait for a cap. QuotaWaiting is how many wait for a cap, and
	// QuotaCap is the cap in force, by workspace.
	QuotaOperations *prometheus.CounterVec
	QuotaWaiting    prometheus.Gauge
	QuotaCap        *prometheus.GaugeVec
	// Choices counts the members that were chosen for statements, by reason, and Ejections the
	// members that were ejected because of the outcomes of their requests.
	Choices   *prometheus.CounterVec
	Ejections *prometheus.CounterVec
	// StatementBounds is the bound of the statements in flight at each member, 0 without one, and
	// ConnectionsRejected counts the connections that members rejected because of their limit.
	StatementBounds     *prometheus.GaugeVec
	ConnectionsRejected *prometheus.CounterVec
	// ViewVersion is the version of the view in force.
	ViewVersion prometheus.Gauge
	// Revision is the revision of the configuration in force.
	Revision prometheus.Gauge
	// Reports counts reports to control by result.
	Reports *prometheus.CounterVec
	// Panics counts connections that ended because their goroutine panicked.
	Panics prometheus.Counter
	// Clients has the metrics of the limits on clients.
	Clients Clients
}

// New creates the metrics of a proxy process and registers them. It panics if the
// registry has them already.
func New(registry *prometheus.Registry) *Metrics {
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	f := factory{registry: registry}
	return &Metrics{
		Registry:       registry,
		Sessions:       f.gauge("sessions", "Open sessions of callers."),
		Requests:       f.counterVec("requests_total", "Ended requests.", "group", "role", "outcome"),
		RequestSeconds: f.histogramVec("request_seconds", "Time of requests at the entry.", "role"),
		Retries:        f.counterVec("retries_total", "Retries of requests.", "reason"),
		MalformedQueries: f.counterVec(
			"malformed_queries_total", "Queries refused because of their text.", "reason"),
		WaitingRequests: f.gaugeVec("member_waiting", "Requests that wait for a member.", "member"),
		RunningRequests: f.gaugeVec("member_running", "Requests that run on a member.", "member"),
		Connections:     f.gaugeVec("member_connections", "Connections to a member.", "member"),
		Refusals: f.counterVec(
			"member_refused_total", "Requests refused where the member's connections are.", "member", "reason"),
		ConfirmSeconds: f.histogram("confirm_seconds", "Wait for the confirmation of writes."),
		Samples:        f.counterVec("log_samples_total", "Samples of the ends of groups' logs.", "source"),
		SamplesDropped: f.counterVec(
			"log_samples_dropped_total", "Points of members that may be primaries no more.", "source"),
		GuardedCommits: f.counterVec(
			"guarded_commits_total", "Commits checked at members that may be promoted at any moment.", "result"),
		AnswersInDoubt: f.counterVec("answers_in_doubt_total", answersInDoubtHelp, "kind"),
		DoubtfulReopens: f.counter(
			"doubtful_connections_reopened_total", "Connections opened after one was closed for such an answer."),
		EvictedConnections: f.counter(
			"evicted_connections_total", "Connections closed to make room for another workspace."),
		RateLimited: f.counter("rate_limited_total", "Operations refused because of a workspace's rate limit."),
		QuotaOperations: f.counterVec(
			"quota_operations_total", "Operations of workspaces with rate limits.", "workspace", "result"),
		QuotaWaiting: f.gauge("quota_waiting", "Operations that wait for a cap."),
		QuotaCap:     f.gaugeVec("quota_cap", "Operations that may start in a window here.", "workspace"),
		ViewVersion:  f.gauge("view_version", "Version of the view in force."),
		Revision:     f.gauge("config_revision", "Revision of the configuration in force."),
		Reports:      f.counterVec("reports_total", "Reports to control.", "result"),
		Panics:       f.counter("panics_total", panicsHelp),
		Choices:      f.counterVec("placement_choices_total", "Members chosen for statements.", "reason"),
		Ejections: f.counterVec(
			"member_ejections_total", "Ejections of members that failed a part of their requests.", "member"),
		StatementBounds: f.gaugeVec(
			"member_statement_bound", "Bound of the statements in flight at a member; 0 without one.", "member"),
		ConnectionsRejected: f.counterVec(
			"member_connections_rejected_total", "Connections rejected because of a member's limit.", "member"),
		Clients: newClients(f),
	}
}

// Handler returns the HTTP handler that exposes the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{})
}

// factory creates metrics and registers them.
type factory struct {
	registry *prometheus.Registry
}

func (f factory) gauge(name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: prefix, Name: name, Help: help})
	f.registry.MustRegister(g)
	return g
}

func (f factory) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: prefix, Name: name, Help: help})
	f.registry.MustRegister(c)
	return c
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
