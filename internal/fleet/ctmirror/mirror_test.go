package ctmirror_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cherviltrestle/cherviltrestle/internal/fleet/ctmirror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// follow applies to a proxy's view what the mirror sends for it.
func follow(t assert.TestingT, m *ctmirror.Mirror, view *ctview.View) *ctview.View {
	delta := m.DeltaSince(view.Version, view.Config.Revision)
	if delta == nil {
		return view
	}
	next, err := view.Apply(delta)
	assert.NilError(t, err)
	return next
}

// assertSameView checks that a proxy's view is the mirror's.
func assertSameView(t assert.TestingT, m *ctmirror.Mirror, view *ctview.View) {
	assert.DeepEqual(t, view.FullDelta(), m.View().FullDelta(), cmpopts.EquateComparable(netip.AddrPort{}))
}

func apply(t assert.TestingT, m *ctmirror.Mirror, delta *ctview.Delta) {
	changed, err := m.Apply(delta)
	assert.NilError(t, err)
	assert.Assert(t, changed)
}

func proxy(number int) ctview.Proxy {
	return ctview.Proxy{
		Name: ctid.Proxy(fmt.Sprintf("p%d", number)), FailureDomain: "d", Incarnation: 1,
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(number+1)), State: ctserver.StateReady,
	}
}

func config(revision ctid.Revision) *ctview.Config {
	return &ctview.Config{Revision: revision, Document: ctconfig.Document{
		Groups: []ctconfig.Group{{Name: ctid.Group(fmt.Sprintf("g%d", revision)), Size: 1}},
	}}
}

func TestMirror(t *testing.T) {
	t.Run("the zero value has nothing to send", func(t *testing.T) {
		var m ctmirror.Mirror
		assert.Assert(t, m.DeltaSince(0, 0) == nil)
	})
	t.Run("a proxy without a view receives the whole one", func(t *testing.T) {
		var m ctmirror.Mirror
		apply(t, &m, &ctview.Delta{To: 5, Proxies: []ctview.Proxy{proxy(1)}, Config: config(1)})
		assertSameView(t, &m, follow(t, &m, &ctview.View{}))
	})
	t.Run("a proxy with the view of an earlier leader receives the difference", func(t *testing.T) {
		var m ctmirror.Mirror
		apply(t, &m, &ctview.Delta{To: 5, Proxies: []ctview.Proxy{proxy(1), proxy(2)}, Config: config(1)})
		view := follow(t, &m, &ctview.View{})
		apply(t, &m, &ctview.Delta{To: 1 << 40, Proxies: []ctview.Proxy{proxy(2), proxy(3)}, Config: config(2)})
		delta := m.DeltaSince(view.Version, view.Config.Revision)
		assert.Equal(t, len(delta.Proxies), 1)
		assert.Equal(t, len(delta.RemovedProxies), 1)
		assert.Assert(t, delta.ConfigPatch != nil && delta.Config == nil)
		assertSameView(t, &m, follow(t, &m, view))
	})
	t.Run("a proxy ahead of the mirror receives nothing", func(t *testing.T) {
		var m ctmirror.Mirror
		apply(t, &m, &ctview.Delta{To: 5, Config: config(1)})
		assert.Assert(t, m.DeltaSince(1<<40, 1) == nil)
	})
	t.Run("a delta that starts later is refused", func(t *testing.T) {
		var m ctmirror.Mirror
		_, err := m.Apply(&ctview.Delta{From: 3, To: 5})
		assert.Equal(t, cterror.KindOf(err), cterror.Conflict)
	})
	t.Run("a fence that arrives ahead of the view stays", func(t *testing.T) {
		var m ctmirror.Mirror
		group := ctview.Group{Name: "g", Term: 1, Primary: "m"}
		apply(t, &m, &ctview.Delta{To: 5, Groups: []ctview.Group{group}, Config: config(1)})
		fenced := group
		fenced.Fence = 2
		m.ApplyGroups([]ctview.Group{fenced})
		apply(t, &m, &ctview.Delta{From: 5, To: 6, Groups: []ctview.Group{group}})
		assert.Equal(t, m.Current().Groups["g"].Fence, ctposition.Term(2))
	})
}

// TestProxiesFollow checks that proxies that skip any number of versions reach the
// mirror's view, across changes of the leader.
func TestProxiesFollow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m ctmirror.Mirror
		views := []*ctview.View{{}, {}, {}}
		version, revision := ctview.Version(1), ctid.Revision(1)
		apply(t, &m, &ctview.Delta{To: version, Config: config(revision)})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			next := &ctview.Delta{From: version, To: version + 1}
			next.Proxies = []ctview.Proxy{proxy(rapid.IntRange(0, 9).Draw(t, "proxy"))}
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				next.From, next.To = 0, version+1<<20
			case 1:
				next.Proxies, next.RemovedProxies = nil, []ctid.Proxy{proxy(rapid.IntRange(0, 9).Draw(t, "gone")).Name}
			case 2:
				revision++
				next.Config = config(revision)
			}
			if rapid.Bool().Draw(t, "ahead") {
				next.Groups = []ctview.Group{{Name: "g", Term: ctposition.Term(version), Primary: "m"}}
				m.ApplyGroups(next.Groups)
			}
			version = next.To
			apply(t, &m, next)
			i := rapid.IntRange(0, len(views)-1).Draw(t, "view")
			views[i] = follow(t, &m, views[i])
			assertSameView(t, &m, views[i])
		}
	})
}
