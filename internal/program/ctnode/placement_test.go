package ctnode

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// TestPlacementPath guards against a metrics listener that lacks the path of placements, or
// fails without a configuration.
func TestPlacementPath(t *testing.T) {
	settings := Settings{Name: "proxy", IP: netip.MustParseAddr("127.0.0.1"), FailureDomain: "d", PeerPort: 1}
	routes := NewProxy(settings, ProxyFrontends{}, zerolog.Nop()).routes()
	for target, want := range map[string]int{
		"/metrics":                           http.StatusOK,
		"/placement?database=db&kind=read":   http.StatusBadRequest,
		"/placement?database=db&kind=nobody": http.StatusBadRequest,
	} {
		response := httptest.NewRecorder()
		routes.ServeHTTP(response, httptest.NewRequest(http.MethodGet, target, nil))
		assert.Equal(t, response.Code, want, target)
	}
}
