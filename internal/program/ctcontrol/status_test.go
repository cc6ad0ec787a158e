package ctcontrol

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
)

// TestStatus guards against lost voters that no operator sees.
func TestStatus(t *testing.T) {
	t.Run("a leader shows its lost voters and its learners", func(t *testing.T) {
		status := leaderQuorumStatus(leading(2, ctquorum.Peer{Name: "f", Incarnation: 9}))
		assert.Equal(t, status.Margin, "2 of 5 voters lost, one more loss stops control")
		assert.Equal(t, status.Lost, 2)
		assert.Equal(t, status.StoppingLosses, 1)
		assert.Equal(t, status.Voters[0].Lost, ctquorum.LossSilent)
		assert.Equal(t, status.Learners[0].Behind, ctquorum.Index(12))
	})
}
