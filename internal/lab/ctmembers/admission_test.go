package ctmembers_test

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctmembers"
	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctpools"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
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
	refused := strings.Count(f.log.String(), `"why":"no_`)
	t.Logf("%d statements were refused, %d connections opened", refused, f.group.DialCount(ctmembers.MemberName(0)))
	assert.Assert(t, refused <= workspaces, "%d statements were refused", refused)
}

// fullMember is a dialer of a member that accepts no more connections.
type fullMember struct{}

func (fullMember) Dial(context.Context, ctserver.Announcement, ctid.Workspace) (ctpools.RawConn, error) {
	return nil, cterror.New(cterror.Exhausted, "the member accepts no more connections", "close some")
}

// ownersTransport opens streams to the owners by their addresses.
type ownersTransport map[netip.AddrPort]*ctpools.Pools

func (o ownersTransport) Open(ctx context.Context, address netip.AddrPort) (ctframe.Stream, error) {
	return pipeTransport{owner: o[address]}.Open(ctx, address)
}

// TestOwnerWithoutConnections guards against a workspace that can't reach a member while its first
// owner can open no connection, though another owner has some.
func TestOwnerWithoutConnections(t *testing.T) {
	for full := range 2 {
		t.Run(fmt.Sprintf("owner %d has none", full+1), func(t *testing.T) {
			group := ctmembers.New(smallGroup)
			delta := &ctview.Delta{
				To: 1, Members: group.Announcements("near"),
				Proxies: []ctview.Proxy{newProxy(1, "near"), newProxy(2, "near"), newProxy(3, "far")},
				Config:  &ctview.Config{Revision: 1, Document: ctconfig.Document{RequireKeys: true}},
			}
			view, err := (&ctview.View{}).Apply(delta)
			assert.NilError(t, err)
			var held ctlock.Held
			owners := ownersTransport{}
			for i, proxy := range delta.Proxies[:2] {
				dialer := ctpools.Dialer(group)
				if i == full {
					dialer = fullMember{}
				}
				owners[proxy.Address] = ctpools.New(dialer, proxy, owners, ctclock.System{}, zerolog.Nop())
				owners[proxy.Address].ApplyView(&held, view)
			}
			far := ctpools.New(group, delta.Proxies[2], owners, ctclock.System{}, zerolog.Nop())
			far.ApplyView(&held, view)
			var faults []ctquery.Fault
			for range 2 {
				deadline := time.Now().Add(testTimeout)
				conn, err := far.Acquire(&held, ctmembers.MemberName(0),
					ctpools.AcquireOptions{Workspace: "w", Deadline: deadline})
				assert.NilError(t, err)
				answer, err := conn.Run(nil, ctquery.Query{ID: "q", Statement: ctquery.Read{Item: "i"}},
					ctpools.Limits{SendDeadline: deadline, Deadline: deadline})
				assert.NilError(t, err)
				faults = append(faults, answer.Fault)
				far.Release(&held, conn, ctpools.Result{Answered: true})
			}
			assert.Equal(t, faults[1], ctquery.FaultNone, "%v", faults)
		})
	}
}
