package ctnode

import (
	"net/http"

	"github.com/cherviltrestle/cherviltrestle/internal/link/cthttp"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctgateway"
)

// routes returns the handler of the proxy's metrics listener, which explains placements too.
func (p *Proxy) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.metrics.Handler())
	mux.HandleFunc("GET "+ctgateway.PlacementPath, p.showPlacement)
	return mux
}

// showPlacement answers which member would run a statement. Nothing is sent to a member.
func (p *Proxy) showPlacement(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	placement, err := p.gateway.Explain(
		ctid.Database(query.Get("database")), ctid.Workspace(query.Get("workspace")),
		ctgateway.StatementKind(query.Get("kind")))
	if err != nil {
		cthttp.WriteError(w, err)
		return
	}
	cthttp.WriteJSON(w, http.StatusOK, placement)
}
