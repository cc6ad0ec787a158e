package ctroute_test

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctroute"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctposition"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
)

var epoch = time.Unix(0, 0)

// newView returns a group of three members, one in each failure domain; a is
// the primary.
func newView(t *testing.T) *ctview.View {
	t.Helper()
	delta := &ctview.Delta{To: 1, Groups: []ctview.Group{{Name: "fit-registry", Term: 1, Primary: "a"}}}
	for _, name := range []string{"a", "b", "c"} {
		delta.Proxies = append(delta.Proxies, ctview.Proxy{
			Name: ctid.Proxy("proxy-" + name), FailureDomain: ctid.FailureDomain(name),
			Address: netip.MustParseAddrPort("127.0.0.1:1"), State: ctserver.StateReady,
		})
		delta.Members = append(delta.Members, ctserver.Announcement{
			Group: "fit-registry", Member: ctid.Member(name), FailureDomain: ctid.FailureDomain(name),
			State: ctserver.StateReady,
		})
	}
	view, err := (&ctview.View{}).Apply(delta)
	assert.NilError(t, err)
	return view
}

// waitHints returns hints with the expected waits of the members, received at the
// epoch.
func waitHints(a, b, c time.Duration) ctroute.HintMap {
	return ctroute.HintMap{
		"a": {ExpectedWait: a, ReceivedAt: epoch},
		"b": {ExpectedWait: b, ReceivedAt: epoch},
		"c": {ExpectedWait: c, ReceivedAt: epoch},
	}
}

// readRequest returns a read that is routed by a proxy in the failure domain of
// member b.
func readRequest(now time.Time) ctroute.Request {
	return ctroute.Request{Now: now, Group: "fit-registry", ReplicaAllowed: true, FailureDomain: "b"}
}

func assertChooses(
	t *testing.T, hints ctroute.Hints, request ctroute.Request, member ctid.Member, reason ctroute.Reason,
) {
	t.Helper()
	send, ok := ctroute.Choose(newView(t), hints, request).(ctroute.Send)
	assert.Assert(t, ok)
	assert.Equal(t, send.Member, member)
	assert.Equal(t, send.Reason, reason)
}

func TestChooseReplica(t *testing.T) {
	const long, longer = 50 * time.Millisecond, 100 * time.Millisecond
	t.Run("replica in the proxy's failure domain", func(t *testing.T) {
		assertChooses(t, waitHints(0, 0, 0), readRequest(epoch), "b", ctroute.ReasonLocalReplica)
	})
	t.Run("replica in another failure domain if the local one is busy", func(t *testing.T) {
		assertChooses(t, waitHints(long, long, 0), readRequest(epoch), "c", ctroute.ReasonRemoteReplica)
	})
	t.Run("primary if it is free and all replicas are busy", func(t *testing.T) {
		assertChooses(t, waitHints(0, long, longer), readRequest(epoch), "a", ctroute.ReasonReplicasBusy)
	})
	t.Run("replica if the primary is busy too", func(t *testing.T) {
		assertChooses(t, waitHints(time.Millisecond, long, longer), readRequest(epoch), "b", ctroute.ReasonLocalReplica)
	})
	t.Run("replica behind the session if all replicas are", func(t *testing.T) {
		request := readRequest(epoch)
		request.Seen = ctposition.Point{Term: 1, Position: 64}
		assertChooses(t, waitHints(0, 0, 0), request, "b", ctroute.ReasonLocalReplica)
	})
	t.Run("replica if there is no hint for the primary", func(t *testing.T) {
		hints := waitHints(0, long, longer)
		delete(hints, "a")
		assertChooses(t, hints, readRequest(epoch), "b", ctroute.ReasonLocalReplica)
	})
	t.Run("replica whose expected wait is over by now", func(t *testing.T) {
		assertChooses(t, waitHints(longer, long, 0), readRequest(epoch.Add(long)), "b", ctroute.ReasonLocalReplica)
	})
}
