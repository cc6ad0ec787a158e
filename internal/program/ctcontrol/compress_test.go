package ctcontrol

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctframe"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

// largeDelta returns a whole view with a large configuration. Proxies are sent such
// deltas repeatedly while a fleet starts.
func largeDelta(to ctview.Version) *ctview.Delta {
	const routes = 1500
	config := &ctview.Config{Revision: 3}
	config.Document.Groups = []ctconfig.Group{{Name: "g", Promotion: ctconfig.PromotionExternal}}
	for i := range routes {
		name := fmt.Sprintf("r%d", i)
		config.Document.Routes = append(config.Document.Routes, ctconfig.Route{
			Name: name, Database: ctid.Database(name), Group: "g", Freshness: ctconfig.FreshnessPrimary,
			StatementTimeout: 1, TargetLatency: 1,
		})
	}
	return &ctview.Delta{To: to, Config: config, Groups: []ctview.Group{{Name: "g", Term: 1}}}
}

// TestReplyCompression guards against compressing a large configuration again for each
// new version of the view. While a fleet starts, each new process changes the view, but
// the configuration stays the same.
func TestReplyCompression(t *testing.T) {
	s := &Service{compressed: make(map[compressionKey][]byte)}
	first := s.replyFrame(&ctview.Reply{Delta: largeDelta(1)})
	t.Run("a configuration is compressed once for all versions of the view", func(t *testing.T) {
		for to := range ctview.Version(3 * maxCompressed) {
			frame := s.replyFrame(&ctview.Reply{Delta: largeDelta(to + 2)})
			assert.Assert(t, &frame.CompressedConfig[0] == &first.CompressedConfig[0])
		}
	})
	t.Run("the compressed parts contain the whole delta", func(t *testing.T) {
		want := largeDelta(1)
		rest, err := ctframe.DecompressDelta(first.CompressedDelta)
		assert.NilError(t, err)
		config, err := ctframe.DecompressDelta(first.CompressedConfig)
		assert.NilError(t, err)
		rest.Config = config.Config
		assert.DeepEqual(t, rest, want)
	})
}
