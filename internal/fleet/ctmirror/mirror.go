package ctmirror

import (
	"reflect"
	"slices"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// maxBases is how many earlier views are retained. The leader issues about one version a
// second while members and proxies come and go.
const maxBases = 16

// Mirror is a copy of the leader's view. Its zero value is the empty view. It is not safe
// for concurrent use.
type Mirror struct {
	// view is the newest view; nil stands for the empty one.
	view *ctview.View
	// current is the view with the groups that arrived ahead of it; nil if there are none.
	current *ctview.View
	// bases are the views before it, the latest last.
	bases []*ctview.View
	// deltas caches the deltas to the newest view by the version that they start from.
	deltas map[ctview.Version]*ctview.Delta
	// whole caches the delta from the empty view.
	whole *ctview.Delta
}

// View returns the newest view. It is never nil and must not be changed.
func (m *Mirror) View() *ctview.View {
	if m.view == nil {
		return &ctview.View{}
	}
	return m.view
}

// Apply applies a delta from the leader, and reports whether the view is newer now. It
// returns an error of kind cterror.Conflict if the delta starts from a later view.
func (m *Mirror) Apply(delta *ctview.Delta) (bool, error) {
	before := m.View()
	after, err := before.Apply(delta)
	if err != nil || after == before {
		return false, err
	}
	if before.Version > 0 {
		m.bases = append(m.bases, before)
	}
	if len(m.bases) > maxBases {
		m.bases = slices.Delete(m.bases, 0, len(m.bases)-maxBases)
	}
	// A group that arrived ahead of the view may be newer than the delta's.
	if m.current != nil {
		m.current, _ = m.current.Apply(delta)
	}
	m.view, m.deltas, m.whole = after, nil, nil
	return true, nil
}

// ApplyGroups applies the leader's newest state of some groups ahead of the view's next
// version. They are part of Current but not of View: the proxies that have the view's
// version don't have them yet.
func (m *Mirror) ApplyGroups(groups []ctview.Group) {
	known := m.Current().Groups
	if !slices.ContainsFunc(groups, func(g ctview.Group) bool { return !reflect.DeepEqual(known[g.Name], g) }) {
		return
	}
	m.current = m.Current().WithGroups(groups)
}

// Current returns the newest view with the groups that are ahead of it. It is never nil and
// must not be changed.
func (m *Mirror) Current() *ctview.View {
	if m.current == nil {
		return m.View()
	}
	return m.current
}

// DeltaSince returns the delta from a proxy's view, with its configuration of the given
// revision, to the newest view. It returns nil if there is nothing newer.
func (m *Mirror) DeltaSince(version ctview.Version, revision ctid.Revision) *ctview.Delta {
	if version >= m.View().Version {
		return nil
	}
	base, ok := m.base(version, revision)
	if !ok {
		return m.wholeView(revision)
	}
	if delta, ok := m.deltas[version]; ok {
		return delta
	}
	if m.deltas == nil {
		m.deltas = make(map[ctview.Version]*ctview.Delta)
	}
	delta := ctview.Diff(base, m.view)
	m.deltas[version] = delta
	return delta
}

// base returns the retained view of a version, if it has the given configuration.
func (m *Mirror) base(version ctview.Version, revision ctid.Revision) (*ctview.View, bool) {
	for _, b := range slices.Backward(m.bases) {
		if b.Version == version {
			return b, b.Config.Revision == revision
		}
	}
	return nil, false
}

// wholeView returns the delta that replaces any earlier view. It leaves out the
// configuration if the proxy has it.
func (m *Mirror) wholeView(revision ctid.Revision) *ctview.Delta {
	if m.whole == nil {
		m.whole = m.view.FullDelta()
	}
	if revision != m.view.Config.Revision {
		return m.whole
	}
	delta := *m.whole
	delta.Config = nil
	return &delta
}
