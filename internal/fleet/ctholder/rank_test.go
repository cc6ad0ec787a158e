package ctholder_test

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/fleet/ctholder"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// newView returns a view of one failure domain with ready proxies and with members.
func newView(t *testing.T, proxies, members int) *ctview.View {
	t.Helper()
	delta := &ctview.Delta{To: 1}
	for i := range proxies {
		delta.Proxies = append(delta.Proxies, ctview.Proxy{
			Name:          ctid.Proxy(fmt.Sprintf("proxy-%d", i)),
			FailureDomain: "taipei-a",
			Address:       netip.MustParseAddrPort("127.0.0.1:1"),
			State:         ctserver.StateReady,
		})
	}
	for i := range members {
		delta.Members = append(delta.Members, ctserver.Announcement{
			Member:        ctid.Member(fmt.Sprintf("member-%d", i)),
			FailureDomain: "taipei-a",
		})
	}
	view, err := (&ctview.View{}).Apply(delta)
	assert.NilError(t, err)
	return view
}

// markLeaving returns the view after a proxy has announced that it is leaving.
func markLeaving(t *testing.T, view *ctview.View, name ctid.Proxy) *ctview.View {
	t.Helper()
	leaving := view.Proxies[name]
	leaving.State = ctserver.StateLeaving
	next, err := view.Apply(&ctview.Delta{From: view.Version, To: view.Version + 1, Proxies: []ctview.Proxy{leaving}})
	assert.NilError(t, err)
	return next
}

// holdersOf returns the holder of each member.
func holdersOf(t *testing.T, view *ctview.View) map[ctid.Member]ctid.Proxy {
	t.Helper()
	found := make(map[ctid.Member]ctid.Proxy)
	for name := range view.Members {
		holder, ok := ctholder.Of(view, name)
		assert.Assert(t, ok)
		found[name] = holder.Name
	}
	return found
}

func TestHolders(t *testing.T) {
	const proxies, members = 6, 600
	t.Run("are distributed over the proxies", func(t *testing.T) {
		counts := make(map[ctid.Proxy]int)
		for _, holder := range holdersOf(t, newView(t, proxies, members)) {
			counts[holder]++
		}
		for name, count := range counts {
			assert.Assert(t, count > members/proxies/2 && count < members/proxies*2, "%s holds %d", name, count)
		}
	})
	t.Run("change only for the members of a leaving proxy", func(t *testing.T) {
		view := newView(t, proxies, members)
		before := holdersOf(t, view)
		after := holdersOf(t, markLeaving(t, view, "proxy-3"))
		for name := range before {
			if before[name] != "proxy-3" {
				assert.Equal(t, after[name], before[name])
			}
			assert.Assert(t, after[name] != "proxy-3")
		}
	})
	t.Run("do not exist without a proxy", func(t *testing.T) {
		_, ok := ctholder.Of(newView(t, 0, 1), "member-0")
		assert.Assert(t, !ok)
	})
}

func TestRank(t *testing.T) {
	t.Run("returns the holder first", func(t *testing.T) {
		view := newView(t, 4, 1)
		holder, _ := ctholder.Of(view, "member-0")
		assert.Equal(t, ctholder.Rank(view, "member-0")[0].Name, holder.Name)
	})
	t.Run("omits a leaving proxy", func(t *testing.T) {
		view := markLeaving(t, newView(t, 4, 1), "proxy-2")
		for _, p := range ctholder.Rank(view, "member-0") {
			assert.Assert(t, p.Name != "proxy-2")
		}
	})
	t.Run("returns the last proxy although it is leaving", func(t *testing.T) {
		view := markLeaving(t, newView(t, 1, 1), "proxy-0")
		assert.Equal(t, len(ctholder.Rank(view, "member-0")), 1)
	})
}
