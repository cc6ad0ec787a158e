package ctstandin

import (
	"net/http"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctwal"
	"github.com/cherviltrestle/cherviltrestle/internal/link/cthttp"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// routes returns the handler of the admin address: it replaces the faults and
// returns the counters and the log.
func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/faults", s.replaceFaults)
	mux.HandleFunc("GET /v1/counters", s.getCounters)
	mux.HandleFunc("GET /v1/log", s.getLog)
	return mux
}

func (s *Server) replaceFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := cthttp.ReadJSON(w, r, &faults); err != nil {
		cthttp.WriteError(w, err)
		return
	}
	var held ctlock.Held
	s.database.With(&held, func(d *database) { d.faults = faults })
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getCounters(w http.ResponseWriter, _ *http.Request) {
	var held ctlock.Held
	var counters Counters
	s.database.With(&held, func(d *database) { counters = d.counters })
	cthttp.WriteJSON(w, http.StatusOK, counters)
}

func (s *Server) getLog(w http.ResponseWriter, _ *http.Request) {
	var held ctlock.Held
	var entries []ctwal.Entry
	s.database.With(&held, func(d *database) { entries = d.log.Entries() })
	cthttp.WriteJSON(w, http.StatusOK, entries)
}
