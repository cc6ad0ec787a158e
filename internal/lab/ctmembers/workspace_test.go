package ctmembers_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctquery"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctlock"
)

// workspaceName returns the name of the workspace with a number from 0.
func workspaceName(i int) ctid.Workspace {
	return ctid.Workspace(fmt.Sprintf("w%d", i))
}

// keyOf returns the digest of the key of a workspace.
func keyOf(name ctid.Workspace) ctid.KeyDigest {
	return ctid.NewKey("secret of " + string(name)).Digest()
}

// withWorkspaces returns a function that declares workspaces with one key each.
func withWorkspaces(count int) func(*ctconfig.Document) {
	return func(document *ctconfig.Document) {
		document.RequireKeys = true
		for i := range count {
			name := workspaceName(i)
			document.Workspaces = append(document.Workspaces, ctconfig.Workspace{
				Name: name, Keys: []ctid.KeyDigest{keyOf(name)},
			})
		}
	}
}

// connectAs starts a session with the key of a workspace.
func (f *fixture) connectAs(t *testing.T, name string, workspace ctid.Workspace) *caller {
	t.Helper()
	c := newCaller(name, "db")
	c.group, c.key = f.group, keyOf(workspace)
	f.callers <- c
	f.gateway.ServeConn(nil)
	answer, _ := c.call(t, ctquery.Set{Name: "owner", Value: ctquery.Text(name)})
	assert.Assert(t, answer.OK(), "%s", answer.Text)
	return c
}

// configure puts a changed configuration into force at the gateway.
func (f *fixture) configure(t *testing.T, change func(document *ctconfig.Document)) {
	t.Helper()
	var held ctlock.Held
	before := f.state.View(&held)
	document := before.Config.Document
	document.Workspaces = append([]ctconfig.Workspace(nil), document.Workspaces...)
	change(&document)
	_, view, err := f.state.ApplyDelta(&held, &ctview.Delta{
		From: before.Version, To: before.Version + 1,
		Config: &ctview.Config{Revision: before.Config.Revision + 1, Document: document},
	})
	assert.NilError(t, err)
	f.gateway.ApplyView(&held, view)
}

// assertStartupRefused checks that a session with a key is refused with a fault.
func assertStartupRefused(t *testing.T, f *fixture, key ctid.KeyDigest, want ctquery.Fault) {
	t.Helper()
	c := newCaller("refused", "db")
	c.key = key
	f.callers <- c
	f.gateway.ServeConn(nil)
	assert.Equal(t, <-c.startupFaults, want)
}

// assertOwnWorkspaces checks that each query ran on a connection of its caller's workspace. The
// name of a caller begins with that of its workspace and a dot.
func assertOwnWorkspaces(t *testing.T, f *fixture) {
	t.Helper()
	ran := f.group.Workspaces()
	for id, workspace := range ran {
		want, _, _ := strings.Cut(string(id), ".")
		assert.Equal(t, string(workspace), want, "query %s", id)
	}
	assert.Assert(t, len(ran) > 0)
}

// TestConnectionsServeOneWorkspace guards against a statement that runs under the name of another
// workspace, and against connections beyond a member's limit where many workspaces share few.
func TestConnectionsServeOneWorkspace(t *testing.T) {
	const workspaces, callersEach, statements = 12, 3, 8
	options := smallGroup
	options.Connections = 14
	for _, w := range []way{direct, forwarded} {
		t.Run(string(w), func(t *testing.T) {
			f := newConfiguredFixture(t, w, options, ctconfig.FreshnessBounded, withWorkspaces(workspaces))
			var done sync.WaitGroup
			for i := range workspaces * callersEach {
				workspace := workspaceName(i % workspaces)
				c := f.connectAs(t, fmt.Sprintf("%s.%d", workspace, i), workspace)
				done.Add(1)
				go func() {
					defer done.Done()
					for n := range statements {
						f.runOperation(t, c, n)
					}
				}()
			}
			done.Wait()
			assertOwnWorkspaces(t, f)
		})
	}
}

// runOperation runs a read, a write or a transaction until it succeeds.
func (f *fixture) runOperation(t *testing.T, c *caller, number int) {
	operations := [][]ctquery.Statement{
		{ctquery.Read{Item: "x"}},
		{ctquery.Write{Arguments: "x 1"}},
		{ctquery.Begin{}, ctquery.Write{Arguments: "x 2"}, ctquery.Commit{}},
	}
	for range 50 {
		ran := true
		for _, statement := range operations[number%len(operations)] {
			answer, _ := c.call(t, statement)
			if !answer.OK() {
				ran = false
				c.call(t, ctquery.Rollback{})
				break
			}
		}
		if ran {
			return
		}
	}
	t.Errorf("%s: operation %d did not succeed", c.name, number)
}

// TestUnknownKeys guards against callers that are served without a key of a workspace.
func TestUnknownKeys(t *testing.T) {
	f := newConfiguredFixture(t, direct, smallGroup, ctconfig.FreshnessBounded, withWorkspaces(2))
	t.Run("an unknown key is refused", func(t *testing.T) {
		assertStartupRefused(t, f, ctid.NewKey("another").Digest(), ctquery.FaultDenied)
	})
	t.Run("a caller without a key is refused", func(t *testing.T) {
		assertStartupRefused(t, f, ctid.KeyDigest{}, ctquery.FaultDenied)
	})
	t.Run("on an anonymous route it is served without a workspace", func(t *testing.T) {
		f.configure(t, func(document *ctconfig.Document) {
			document.Routes = append([]ctconfig.Route(nil), document.Routes...)
			document.Routes[0].Anonymous = true
		})
		c := f.connect(t, "nobody")
		answer, id := c.call(t, ctquery.Read{Item: "x"})
		assert.Assert(t, answer.OK())
		assert.Equal(t, f.group.Workspaces()[id], ctid.Workspace(""))
	})
	t.Run("a known key identifies its workspace there too", func(t *testing.T) {
		c := f.connectAs(t, "w1.anonymous", "w1")
		_, id := c.call(t, ctquery.Read{Item: "x"})
		assert.Equal(t, f.group.Workspaces()[id], ctid.Workspace("w1"))
	})
}

// withdrawKey removes the keys of a workspace from a configuration.
func withdrawKey(name ctid.Workspace) func(*ctconfig.Document) {
	return func(document *ctconfig.Document) {
		for i := range document.Workspaces {
			if document.Workspaces[i].Name == name {
				document.Workspaces[i].Keys = nil
			}
		}
	}
}

// TestWithdrawnKeys guards against open sessions that go on with a key that was withdrawn.
func TestWithdrawnKeys(t *testing.T) {
	f := newConfiguredFixture(t, direct, smallGroup, ctconfig.FreshnessBounded, withWorkspaces(2))
	idle := f.connectAs(t, "w0.idle", "w0")
	open := f.connectAs(t, "w0.open", "w0")
	other := f.connectAs(t, "w1.other", "w1")
	for _, statement := range []ctquery.Statement{ctquery.Begin{}, ctquery.Write{Arguments: "x 1"}} {
		answer, _ := open.call(t, statement)
		assert.Assert(t, answer.OK())
	}
	f.configure(t, withdrawKey("w0"))
	t.Run("an idle session is refused", func(t *testing.T) {
		answer, _ := idle.call(t, ctquery.Read{Item: "x"})
		assert.Equal(t, answer.Fault, ctquery.FaultDenied)
	})
	t.Run("an open transaction is rolled back", func(t *testing.T) {
		answer, _ := open.call(t, ctquery.Commit{})
		assert.Equal(t, answer.Fault, ctquery.FaultAborted)
		assert.Equal(t, len(f.group.WriteCounts()), 0)
		answer, _ = open.call(t, ctquery.Read{Item: "x"})
		assert.Equal(t, answer.Fault, ctquery.FaultDenied)
	})
	t.Run("other workspaces are served", func(t *testing.T) {
		answer, _ := other.call(t, ctquery.Read{Item: "x"})
		assert.Assert(t, answer.OK())
	})
	t.Run("a proxy that may lack the newest configuration refuses without judging the key", func(t *testing.T) {
		var held ctlock.Held
		f.state.SetConfigOutdated(&held, true)
		answer, _ := idle.call(t, ctquery.Read{Item: "x"})
		assert.Equal(t, answer.Fault, ctquery.FaultBusy)
		f.state.SetConfigOutdated(&held, false)
	})
	t.Run("with a new key the session is served again", func(t *testing.T) {
		f.configure(t, func(document *ctconfig.Document) {
			document.Workspaces[0].Keys = []ctid.KeyDigest{keyOf("w0")}
		})
		answer, _ := idle.call(t, ctquery.Read{Item: "x"})
		assert.Assert(t, answer.OK())
	})
}
