package ctproof

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCancel checks that a cancel request ends the running statement of the
// caller's session and that the session can be used afterwards. The statement
// runs on a member that another proxy holds, so a proxy that doesn't forward the
// cancel would let it run on.
func TestCancel(t *testing.T) {
	fleet := start(t, smallFleet())
	session := open(t, fleet.Proxies[1], nil)
	mustRun(t, session, "BEGIN")
	ended := make(chan error, 1)
	go func() {
		_, err := run(session, "SELECT pg_sleep(50)")
		ended <- err
	}()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	// A cancel that arrives before the statement runs has no effect, so it is repeated.
	for {
		assert.NilError(t, session.CancelRequest(ctx))
		select {
		case err := <-ended:
			assert.ErrorContains(t, err, "57014")
			mustRun(t, session, "ROLLBACK")
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}
