package ctmetric

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Control holds the metrics of a control process.
type Control struct {
	registry *prometheus.Registry

	// Replies counts what was answered by frame and result, and Seconds how long
	// that took.
	Replies      *prometheus.CounterVec
	ReplySeconds *prometheus.HistogramVec
}

// NewControl registers the metrics of a control process.
func NewControl(registry *prometheus.Registry) *Control {
	registry.MustRegister(collectors.NewGoCollector())
	f := factory{registry: registry}
	return &Control{
		registry:     registry,
		Replies:      f.counterVec("control_answers_total", "Answered frames and calls.", "frame", "result"),
		ReplySeconds: f.histogramVec("control_answer_seconds", "Time of answers.", "frame"),
	}
}

// Handler serves the metrics over HTTP.
func (c *Control) Handler() http.Handler {
	return promhttp.HandlerFor(c.registry, promhttp.HandlerOpts{})
}
