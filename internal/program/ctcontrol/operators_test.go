package ctcontrol

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// newReader returns the operators' interface of a process that knows one change of the
// configuration, and its clock.
func newReader() (operatorAPI, *ctclock.Manual) {
	clock := &ctclock.Manual{}
	control := New(Options{Name: "a", Clock: clock})
	var held ctlock.Held
	control.state.With(&held, func(l *leaderState) {
		l.register.ConfigHistory = []ctconfig.AcceptedChange{{Revision: 1, Change: ctconfig.Change{ID: "change-1"}}}
		l.register.AuditLog = []ctregister.AuditEntry{{Reason: "majority_announced"}}
	})
	return operatorAPI{control: control}, clock
}

// assertRead checks the status code and a part of the body of each read of what was decided.
func assertRead(t *testing.T, api operatorAPI, wantCode int, wantText string) {
	t.Helper()
	for _, read := range []http.HandlerFunc{api.configHistory, api.auditLog} {
		response := httptest.NewRecorder()
		read(response, httptest.NewRequest(http.MethodGet, "/", http.NoBody))
		assert.Equal(t, response.Code, wantCode, response.Body)
		assert.Assert(t, strings.Contains(response.Body.String(), wantText), response.Body)
	}
}

// TestReadsOfOperators guards against an answer that lacks the last confirmed change, from a
// process that follows or whose authority has expired.
func TestReadsOfOperators(t *testing.T) {
	t.Run("a leader with authority answers", func(t *testing.T) {
		api, clock := newReader()
		api.control.BecomeLeader(2)
		api.control.SetAuthority(clock.Now().Add(time.Second))
		assertRead(t, api, http.StatusOK, "[{")
	})
	t.Run("a follower names the leader", func(t *testing.T) {
		api, _ := newReader()
		api.control.BecomeFollower(ctquorum.Peer{Name: "b"})
		assertRead(t, api, http.StatusServiceUnavailable, "b does")
	})
	t.Run("a process without a leader does not answer", func(t *testing.T) {
		api, _ := newReader()
		assertRead(t, api, http.StatusServiceUnavailable, "no control process leads")
	})
	t.Run("a leader whose authority has expired does not answer", func(t *testing.T) {
		api, clock := newReader()
		api.control.BecomeLeader(2)
		api.control.SetAuthority(clock.Now().Add(time.Second))
		clock.Advance(time.Second)
		assertRead(t, api, http.StatusServiceUnavailable, "no authority")
	})
}
