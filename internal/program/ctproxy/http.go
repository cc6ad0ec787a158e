package ctproxy

import (
	"net/http"

	"github.com/cherviltrestle/cherviltrestle/internal/link/cthttp"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// routes returns the handler for announcements, health, metrics and the proxy's
// state.
func (p *Proxy) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announcements", p.announce)
	mux.HandleFunc("GET /v1/view", p.showView)
	mux.HandleFunc("GET /v1/held", p.showHeld)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", p.showReady)
	mux.Handle("GET /metrics", p.metrics.Handler())
	return mux
}

// announce passes a backend server's announcement to the uplink.
func (p *Proxy) announce(w http.ResponseWriter, r *http.Request) {
	var announcement ctserver.Announcement
	if err := cthttp.ReadJSON(w, r, &announcement); err != nil {
		cthttp.WriteError(w, err)
		return
	}
	if err := p.uplink.Announce(announcement); err != nil {
		cthttp.WriteError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// showReady answers the load balancer's readiness probe.
func (p *Proxy) showReady(w http.ResponseWriter, _ *http.Request) {
	if !p.ready.Load() {
		http.Error(w, "stopping", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// showView returns the view in force.
func (p *Proxy) showView(w http.ResponseWriter, _ *http.Request) {
	var held ctlock.Held
	cthttp.WriteJSON(w, http.StatusOK, p.state.View(&held).FullDelta())
}

// showHeld returns the status of the held members.
func (p *Proxy) showHeld(w http.ResponseWriter, _ *http.Request) {
	var held ctlock.Held
	cthttp.WriteJSON(w, http.StatusOK, p.holder.HeldMembers(&held))
}
