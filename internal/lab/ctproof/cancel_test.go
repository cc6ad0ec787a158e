package ctproof

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstandin"
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

// TestLateCancel guards against a cancel request that takes effect on another caller's
// statement: the backend server acts on it when the statement that it was for has ended and
// the connection serves the next caller.
func TestLateCancel(t *testing.T) {
	fleet := start(t, smallFleet())
	primary := startupParameters{"cherviltrestle.max_age": "1ns"}
	first, second := open(t, fleet.Proxies[0], primary), open(t, fleet.Proxies[0], primary)
	assert.NilError(t, fleet.SetFaults(fleet.Members[group][0], ctstandin.Faults{CancelDelay: 600}))
	ended := make(chan error, 1)
	go func() {
		_, err := run(first, "SELECT pg_sleep(0.4)")
		ended <- err
	}()
	time.Sleep(200 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	assert.NilError(t, first.CancelRequest(ctx))
	assert.NilError(t, <-ended)
	_, err := run(second, "SELECT pg_sleep(1)")
	assert.NilError(t, err)
}
