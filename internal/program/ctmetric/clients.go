package ctmetric

import "github.com/prometheus/client_golang/prometheus"

// Clients holds the metrics of the limits on clients. The label listener names what the clients
// connect to.
type Clients struct {
	// Connected is the number of clients, and HeldBytes what they are charged for.
	Connected, HeldBytes *prometheus.GaugeVec
	// Denied counts charges and connections that were refused, and Evicted clients that were
	// closed for others, by reason.
	Denied, Evicted *prometheus.CounterVec
}

// newClients creates and registers the metrics.
func newClients(f factory) Clients {
	return Clients{
		Connected: f.gaugeVec("clients", "Connected clients.", "listener"),
		HeldBytes: f.gaugeVec("client_held_bytes", "Memory that clients are charged for.", "listener"),
		Denied: f.counterVec(
			"client_denied_total", "Messages and connections of clients refused by a limit.", "listener", "reason"),
		Evicted: f.counterVec("client_evicted_total", "Clients closed to make room for others.", "listener", "reason"),
	}
}
