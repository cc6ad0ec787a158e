package ctmembers_test

import (
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctmembers"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// TestBusyMember guards against statements that are sent again and again to a member that rejects
// them. Without admission control, 8 writes were sent 208 times directly and 175 times over another proxy.
func TestBusyMember(t *testing.T) {
	options := smallGroup
	options.QueueDepth = 0
	const callers = 8
	for _, w := range []way{direct, forwarded} {
		t.Run(string(w), func(t *testing.T) {
			f := newFixtureWith(t, w, options, ctconfig.FreshnessPrimary)
			f.runConcurrently(t, callers, func(c *caller) {
				answer, _ := c.call(t, ctquery.Write{Arguments: "c 1"})
				assert.Check(t, answer.Fault == ctquery.FaultBusy, "%+v", answer)
				assert.Check(t, strings.Contains(answer.Text, "retry after "), answer.Text)
			})
			sent := f.group.RejectedCount(ctmembers.MemberName(0))
			t.Logf("%d statements were rejected", sent)
			assert.Assert(t, 0 < sent && sent <= 4*callers, "%d statements were rejected", sent)
		})
	}
}

// TestMemberThatCountsOldConnections guards against workspaces that find no connection while a
// member rejects new ones because it still counts those of processes that lost power.
func TestMemberThatCountsOldConnections(t *testing.T) {
	const workspaces, free = 6, 2
	options := smallGroup
	options.Members = 1
	f := newConfiguredFixture(t, direct, options, ctconfig.FreshnessPrimary, withWorkspaces(workspaces))
	opener := ctpools.Opener{Dialer: f.group, Clock: ctclock.System{}, Logger: zerolog.Nop()}
	for range options.Connections - free {
		conn, err := opener.Open(context.Background(), f.group.Announcements("d1")[0])
		assert.NilError(t, err)
		t.Cleanup(conn.Close)
	}
	var done sync.WaitGroup
	for i := range workspaces {
		c := f.connectAs(t, string(workspaceName(i))+".c", workspaceName(i))
		done.Add(1)
		go func() {
			defer done.Done()
			for n := range 9 {
				f.runOperation(t, c, n)
			}
		}()
	}
	done.Wait()
	assertOwnWorkspaces(t, f)
	refused := strings.Count(f.log.String(), "no_member_in_time")
	t.Logf("%d statements were refused, %d connections opened", refused, f.group.DialCount(ctmembers.MemberName(0)))
	assert.Assert(t, refused <= workspaces, "%d statements were refused", refused)
}
