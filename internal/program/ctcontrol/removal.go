package ctcontrol

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/link/cthttp"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// removalTimeout bounds the wait until a voter is removed.
const removalTimeout = 2 * time.Second

// RemoveVoterRequest is the body of an operator's request to remove a voter for good.
type RemoveVoterRequest struct {
	Name ctid.Control `json:"name"`
}

// removeVoter removes a control process whose VM is gone for good from the voters.
func (o operatorAPI) removeVoter(w http.ResponseWriter, r *http.Request) {
	var request RemoveVoterRequest
	if err := cthttp.ReadJSON(w, r, &request); err != nil {
		cthttp.WriteError(w, err)
		return
	}
	var held ctlock.Held
	voter, err := o.removableVoter(&held, request.Name)
	if err == nil {
		o.replica.RemoveVoter(voter)
		err = o.awaitRemoval(r.Context(), &held, voter)
	}
	if err != nil {
		cthttp.WriteError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// removableVoter returns the voter of the given name. It fails if this process does not
// lead, if there is no such voter, or if the voter is this process.
func (o operatorAPI) removableVoter(held *ctlock.Held, name ctid.Control) (ctquorum.Peer, error) {
	if err := o.control.checkLeading(held); err != nil {
		return ctquorum.Peer{}, err
	}
	voters := o.replica.Voters(held)
	i := slices.IndexFunc(voters, func(v ctquorum.Peer) bool { return v.Name == name })
	switch {
	case i < 0:
		return ctquorum.Peer{}, cterror.Newf(cterror.Invalid, "see status for the voters", "%s is no voter", name)
	case name == o.control.Name:
		return ctquorum.Peer{}, cterror.Newf(cterror.Conflict, "stop it first; another one then leads",
			"%s leads control", name)
	}
	return voters[i], nil
}

// awaitRemoval waits until the voter is no longer among the voters.
func (o operatorAPI) awaitRemoval(ctx context.Context, held *ctlock.Held, voter ctquorum.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, removalTimeout)
	defer cancel()
	for slices.Contains(o.replica.Voters(held), voter) {
		select {
		case <-ctx.Done():
			return cterror.Newf(cterror.Unavailable, "see status, and try again if it is still a voter",
				"whether %s was taken out is not known", voter.Name)
		case <-o.control.Clock.After(quorumTickInterval):
		}
	}
	return nil
}

// checkLeading returns an error if this process does not lead control.
func (c *Control) checkLeading(held *ctlock.Held) error {
	var err error
	c.state.With(held, func(l *leaderState) {
		if !l.leading {
			err = notLeaderError(l)
		}
	})
	return err
}
