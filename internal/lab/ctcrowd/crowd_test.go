package ctcrowd_test

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctcrowd"
)

// The limits in the settings, and the number of clients of a crowd. Clients that hold 0.9 MB each
// exceed the limit together, several times with session values.
const (
	memory        ctcrowd.Megabytes = 80
	descriptors   int               = 300
	crowdSize     int               = 120
	sessionsSize  int               = 40
	idleSize      int               = 400
	bodiesSize    int               = 24
	messages      int               = 3
	largePerState int               = 6
	pipelined     int               = 20_000
	// smallestMemory and smallestDescriptors are those of a proxy on the smallest VM, and calmSessions
	// is more than the sessions that it serves.
	smallestMemory      ctcrowd.Megabytes = 136
	smallestDescriptors int               = 3010
	calmSessions        int               = 60
	smallPiece                            = 2 << 10
)

// listener is what a crowd connects to.
type listener func(*ctcrowd.System) netip.AddrPort

// assertWithinLimits runs a crowd against a listener, and checks that ordinary requests are served while
// the crowd is connected, and that the processes have stayed under their limits.
func assertWithinLimits(t *testing.T, to listener, crowd ctcrowd.Crowd) {
	t.Helper()
	system := start(t, memory, descriptors)
	crowd.Address = to(system)
	defer crowd.Close()
	crowd.Run()
	assertUsage(t, system)
	assert.Check(t, system.AwaitServed(context.Background()))
	assert.Check(t, system.AwaitControlServed(context.Background()))
	assertUsage(t, system)
}

// start starts a system with limits.
func start(t *testing.T, memory ctcrowd.Megabytes, descriptors int) *ctcrowd.System {
	t.Helper()
	system, err := ctcrowd.Start(ctcrowd.Options{
		BinFolder: programFolder, Folder: t.ArtifactDir(), Memory: memory, Descriptors: descriptors,
	})
	assert.NilError(t, err)
	t.Cleanup(system.Close)
	return system
}

// assertUsage checks that both processes run, and that their peak memory and their descriptors are
// under the limits.
func assertUsage(t *testing.T, system *ctcrowd.System) {
	t.Helper()
	assertProcessUsage(t, system.Proxy)
	assertProcessUsage(t, system.Control)
}

// assertProcessUsage is assertUsage for one process.
func assertProcessUsage(t *testing.T, p ctcrowd.Process) {
	t.Helper()
	usage, err := p.Usage()
	assert.NilError(t, err)
	t.Logf("%s: %+v", p.Name, usage)
	assert.Check(t, usage.PeakMemory <= memory, "%s: more than %d MB", p.Name, memory)
	assert.Check(t, usage.Descriptors <= descriptors, "%s: more than %d descriptors", p.Name, descriptors)
}

// TestCrowd guards against processes that exceed their limits, end or hang because of clients that
// misbehave. Each line names one kind.
func TestCrowd(t *testing.T) {
	callers, peers := (*ctcrowd.System).CallerAddress, (*ctcrowd.System).ProxyPeerAddress
	balancer, operators := (*ctcrowd.System).ReadinessAddress, (*ctcrowd.System).OperatorAddress
	controlPeers := (*ctcrowd.System).ControlPeerAddress
	whole := ctcrowd.LargeMessages{Count: messages}
	pieces := ctcrowd.LargeMessages{Count: messages, PieceBytes: smallPiece}
	reads := ctcrowd.Pipeline{Count: pipelined, Item: "item"}
	largeReads := ctcrowd.Pipeline{Count: pipelined, Item: "large"}
	for _, c := range []struct {
		name      string
		to        listener
		size      int
		behaviour ctcrowd.Behaviour
	}{
		{"half a message", callers, crowdSize, ctcrowd.HalfMessage{}},
		{"half a first message", callers, crowdSize, ctcrowd.HalfStartup{}},
		{"large messages", callers, crowdSize, whole},
		{"large messages in pieces", callers, crowdSize, pieces},
		{"messages over the limit", callers, crowdSize, ctcrowd.TooLarge{}},
		{"pipelined messages", callers, sessionsSize, reads},
		{"pipelined large reads", callers, crowdSize, largeReads},
		{"session values", callers, sessionsSize, ctcrowd.Values{Count: largePerState}},
		{"session values in use", callers, sessionsSize, ctcrowd.Values{Count: largePerState, Read: true}},
		{"prepared statements", callers, sessionsSize, ctcrowd.PreparedStatements{Count: largePerState}},
		{"slow senders", callers, crowdSize, ctcrowd.SlowSender{}},
		{"slow readers", callers, crowdSize, ctcrowd.SlowReader{}},
		{"idle sessions", callers, idleSize, ctcrowd.Idle{}},
		{"silent clients", callers, idleSize, ctcrowd.Silent{}},
		{"half a frame", peers, crowdSize, ctcrowd.HalfFrame{}},
		{"silent peers", peers, idleSize, ctcrowd.Silent{}},
		{"half a frame to control", controlPeers, crowdSize, ctcrowd.HalfFrame{}},
		{"silent peers of control", controlPeers, idleSize, ctcrowd.Silent{}},
		{"silent probes", balancer, idleSize, ctcrowd.Silent{}},
		{"large bodies", operators, bodiesSize, ctcrowd.Body{}},
		{"half a body", operators, bodiesSize, ctcrowd.Body{Half: true}},
		{"silent operators", operators, idleSize, ctcrowd.Silent{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			assertWithinLimits(t, c.to, ctcrowd.Crowd{Size: c.size, Behaviour: c.behaviour})
		})
	}
}

// TestCalm guards against limits that refuse clients within the documented limits: statements of nearly
// 1 MiB, several session values of that size, and as many sessions as the smallest VM serves and more.
func TestCalm(t *testing.T) {
	large := strings.Repeat("x", 1<<20-100)
	system := start(t, smallestMemory, smallestDescriptors)
	crowd := ctcrowd.Crowd{Address: system.CallerAddress(), Size: calmSessions, Behaviour: ctcrowd.Idle{}}
	defer crowd.Close()
	crowd.Run()
	for name, statements := range map[string][]string{
		"a large write":         {"WRITE a " + large},
		"large writes":          {"WRITE a " + large, "WRITE a " + large, "WRITE a " + large},
		"a large row":           {"READ large", "READ large"},
		"large session values":  {"SET a " + large, "SET b " + large, "SET c " + large, "READ item"},
		"a large prepared read": {"PREPARE p READ " + large, "EXECUTE p item"},
	} {
		t.Run(name, func(t *testing.T) { assert.Assert(t, system.Serves(t.Context(), statements...)) })
	}
	t.Run("a session goes on after a value over its limit", func(t *testing.T) {
		accepted := system.CountAccepted(t.Context(), append(slices.Repeat([]string{"SET a " + large}, largePerState),
			"SET b "+large, "SET c "+large, "SET d "+large, "SET e "+large, "SET f "+large, "SET g "+large, "SET h "+large,
			"SET i "+large, "SET j "+large, "READ item")...)
		assert.Assert(t, accepted >= 2*largePerState, accepted)
		assert.Assert(t, accepted < largePerState+10, accepted)
	})
	t.Run("the idle sessions are still open", func(t *testing.T) { assert.Equal(t, crowd.Open(), calmSessions) })
}

// TestPostgreSQLCrowd is TestCrowd for the PostgreSQL front end.
func TestPostgreSQLCrowd(t *testing.T) {
	for _, c := range []struct {
		name      string
		size      int
		behaviour ctcrowd.Behaviour
	}{
		{"half a request", crowdSize, ctcrowd.HalfRequest{}},
		{"claimed requests", crowdSize, ctcrowd.ClaimedRequest{}},
		{"requests without an end", crowdSize, ctcrowd.EndlessRequest{}},
		{"prepared statements", sessionsSize, ctcrowd.Statements{Count: largePerState}},
		{"pipelined requests", sessionsSize, ctcrowd.Requests{Count: pipelined}},
		{"idle sessions", idleSize, ctcrowd.IdleRequests{}},
		{"silent callers", idleSize, ctcrowd.Silent{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			fleet, err := ctcrowd.StartPostgreSQL(ctcrowd.Options{
				BinFolder: programFolder, Folder: t.ArtifactDir(), Memory: memory, Descriptors: descriptors,
			})
			assert.NilError(t, err)
			defer fleet.Stop()
			proxy := ctcrowd.Process{Process: fleet.Proxies[0]}
			crowd := ctcrowd.Crowd{Address: proxy.Listen, Size: c.size, Behaviour: c.behaviour}
			defer crowd.Close()
			crowd.Run()
			assertProcessUsage(t, proxy)
			assert.Check(t, ctcrowd.AwaitPostgreSQLServed(t.Context(), proxy.Process))
			assertProcessUsage(t, proxy)
		})
	}
}
