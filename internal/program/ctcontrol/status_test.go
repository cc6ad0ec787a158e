package ctcontrol

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
)

// statusOf returns the status of a process as its HTTP interface encodes it, decoded again.
func statusOf(t *testing.T, s *Service) Status {
	t.Helper()
	response := httptest.NewRecorder()
	s.StatusHandler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/", http.NoBody))
	var status Status
	assert.NilError(t, json.Unmarshal(response.Body.Bytes(), &status), response.Body)
	return status
}

// TestStatus guards against a status that can't be read when it is needed most: without a leader.
func TestStatus(t *testing.T) {
	t.Run("a leader shows its lost voters and its learners", func(t *testing.T) {
		status := leaderQuorumStatus(leading(2, ctquorum.Peer{Name: "f", Incarnation: 9}))
		assert.Equal(t, status.Margin, "2 of 5 voters lost, one more loss stops control")
		assert.Equal(t, status.Lost, 2)
		assert.Equal(t, status.StoppingLosses, 1)
		assert.Equal(t, status.Voters[0].Lost, ctquorum.LossSilent)
		assert.Equal(t, status.Learners[0].Behind, ctquorum.Index(12))
	})
	t.Run("a process that joins shows whom it asks and for how long", func(t *testing.T) {
		s, _ := newJoining(t, 5*time.Second, "10.0.0.2")
		status := statusOf(t, s)
		assert.Equal(t, status.Quorum.State, stateJoins)
		assert.Equal(t, time.Duration(status.Quorum.JoiningFor), 5*time.Second)
		assert.Equal(t, len(status.Quorum.Processes), 1)
		assert.Assert(t, status.Quorum.Processes[0].Asked)
	})
}
