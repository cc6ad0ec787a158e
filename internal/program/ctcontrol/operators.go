package ctcontrol

import (
	"net/http"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/link/cthttp"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// operatorAPI serves the HTTP requests of the operators' command line.
type operatorAPI struct {
	control *Control
	replica *Replica
}

// changeConfig applies a change of the configuration. A change that was sent before gets
// the first result again. A change that conflicts with an accepted one gets an error that
// names that one.
func (o operatorAPI) changeConfig(w http.ResponseWriter, r *http.Request) {
	var change ctconfig.Change
	if err := cthttp.ReadJSON(w, r, &change); err != nil {
		cthttp.WriteError(w, err)
		return
	}
	var held ctlock.Held
	result, err := o.control.ChangeConfig(r.Context(), &held, change)
	if err != nil {
		cthttp.WriteError(w, err)
		return
	}
	switch c := result.(type) {
	case ctregister.Configured:
		cthttp.WriteJSON(w, http.StatusCreated, c.Accepted)
	case ctregister.Duplicate:
		cthttp.WriteJSON(w, http.StatusOK, c.Accepted)
	case ctregister.Conflict:
		cthttp.WriteError(w, conflictError(c))
	}
}

func conflictError(c ctregister.Conflict) error {
	winner := c.Winner
	if c.IDReused {
		return cterror.Newf(cterror.Conflict, "give this change an id of its own",
			"change id %s was used before, for other content, by %s (revision %s)",
			winner.Change.ID, winner.Change.Author, winner.Revision)
	}
	return cterror.Newf(cterror.Conflict, "get the newest configuration, make the change on it and apply that",
		"change %s by %s was accepted first (revision %s)", winner.Change.ID, winner.Change.Author, winner.Revision)
}

func (o operatorAPI) configHistory(w http.ResponseWriter, _ *http.Request) {
	var held ctlock.Held
	history, err := o.control.ConfigHistory(&held)
	writeRead(w, history, err)
}

func (o operatorAPI) status(w http.ResponseWriter, _ *http.Request) {
	var held ctlock.Held
	status := o.control.Status(&held)
	status.Voters = o.replica.Voters(&held)
	status.Quorum = o.replica.QuorumStatus(&held)
	cthttp.WriteJSON(w, http.StatusOK, status)
}

// StatusHandler returns the handler of operators' requests for the status.
func (s *Service) StatusHandler() http.Handler {
	return http.HandlerFunc(operatorAPI{control: s.control, replica: s.replica}.status)
}

func (o operatorAPI) auditLog(w http.ResponseWriter, _ *http.Request) {
	var held ctlock.Held
	entries, err := o.control.AuditLog(&held)
	writeRead(w, entries, err)
}

// writeRead writes what was read, or the error.
func writeRead(w http.ResponseWriter, read any, err error) {
	if err != nil {
		cthttp.WriteError(w, err)
		return
	}
	cthttp.WriteJSON(w, http.StatusOK, read)
}
