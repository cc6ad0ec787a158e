package ctframe_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
)

// newJoinReply returns a frame with the reply to a request to join.
func newJoinReply(outcome ctquorum.JoinOutcome) *ctframe.Quorum {
	from, to := ctquorum.Peer{Name: "control-1", Incarnation: 1}, ctquorum.Peer{Name: "control-2", Incarnation: 2}
	return ctframe.NewQuorum(from, to, ctquorum.JoinReply{Epoch: 3, Outcome: outcome, Voters: []ctquorum.Peer{from}})
}

// TestJoinReply guards against a reply that its receiver can't read: it then closes the stream.
func TestJoinReply(t *testing.T) {
	t.Run("without a leader is read as written", func(t *testing.T) {
		frame, err := ctframe.Read(bytes.NewReader(encode(t, newJoinReply(ctquorum.JoinNotLeading))))
		assert.NilError(t, err)
		assert.DeepEqual(t, frame, newJoinReply(ctquorum.JoinNotLeading))
	})
	t.Run("with an unknown outcome is invalid", func(t *testing.T) {
		assertInvalid(t, encode(t, newJoinReply("unheard_of")))
	})
	t.Run("without an outcome is invalid", func(t *testing.T) {
		assertInvalid(t, encode(t, newJoinReply("")))
	})
}
