package ctproof

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// writeConfig writes a configuration with the maximum age of reads to a file and
// returns the file's name.
func writeConfig(t *testing.T, maxAge string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.yaml")
	text := "defaults:\n  reads:\n    max_age: " + maxAge + "\ngroups:\n  - name: fit-registry\n    size: 3\n"
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// applyConfig applies a configuration file on top of the revision base and
// returns the command's output. The id identifies the change and names its author.
func applyConfig(fleet *ctfleet.Fleet, file string, base int, id string) (string, error) {
	return fleet.RunCommand("config", "apply", "--control-http", fleet.ControlHTTPAddresses(),
		"--file", file, "--base", fmt.Sprint(base), "--id", id, "--author", id)
}

// revisions returns the revision in force at each proxy, by proxy name. It fails
// the test if a proxy does not answer.
func revisions(t *testing.T, fleet *ctfleet.Fleet) map[string]ctid.Revision {
	t.Helper()
	revisions := make(map[string]ctid.Revision)
	for _, p := range fleet.Proxies {
		view, err := fleet.View(p)
		assert.NilError(t, err)
		revisions[p.Name] = view.Config.Revision
	}
	return revisions
}

// awaitRevision waits until the revision want is in force at every proxy.
func awaitRevision(t *testing.T, fleet *ctfleet.Fleet, want ctid.Revision) {
	t.Helper()
	assert.NilError(t, ctfleet.WaitUntil("the revision is in force at every proxy", func() bool {
		for _, p := range fleet.Proxies {
			view, err := fleet.View(p)
			if err != nil || view.Config == nil || view.Config.Revision != want {
				return false
			}
		}
		return true
	}))
}

// TestConfigurationRaces checks that control accepts at most one change on top
// of a revision. Without that check an operator would overwrite a change that
// was applied at the same time, and a resent change would be applied twice.
func TestConfigurationRaces(t *testing.T) {
	fleet := start(t, smallFleet())
	t.Run("one of two changes on the same revision is accepted", func(t *testing.T) {
		results := make([]error, 2)
		outputs := make([]string, 2)
		var done sync.WaitGroup
		for i, name := range []string{"ana", "bor"} {
			file := writeConfig(t, fmt.Sprintf("%ds", i+1))
			done.Add(1)
			go func() {
				defer done.Done()
				outputs[i], results[i] = applyConfig(fleet, file, 1, name)
			}()
		}
		done.Wait()
		assert.Assert(t, (results[0] == nil) != (results[1] == nil), "%v", outputs)
		rejected, accepted := 0, "bor"
		if results[0] == nil {
			rejected, accepted = 1, "ana"
		}
		assert.Assert(t, contains(outputs[rejected], "change "+accepted+" by "+accepted+" was accepted first"),
			outputs[rejected])
		awaitRevision(t, fleet, 2)
	})
	t.Run("a resent change returns the first answer", func(t *testing.T) {
		file := writeConfig(t, "3s")
		first, err := applyConfig(fleet, file, 2, "resent")
		assert.NilError(t, err, first)
		again, err := applyConfig(fleet, file, 2, "resent")
		assert.NilError(t, err, again)
		assert.Equal(t, again, first)
		awaitRevision(t, fleet, 3)
	})
	t.Run("a used id with other content is rejected", func(t *testing.T) {
		output, err := applyConfig(fleet, writeConfig(t, "4s"), 3, "resent")
		assert.Assert(t, err != nil)
		assert.Assert(t, contains(output, "was used before, for other content"), output)
	})
	t.Run("an exception without a reason is rejected", func(t *testing.T) {
		file := writeConfig(t, "4s")
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		text := string(data) + "exceptions:\n  - group: fit-registry\n    settings: {reads: {max_age: 1s}}\n"
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
		output, err := applyConfig(fleet, file, 3, "unreasoned")
		assert.Assert(t, err != nil)
		assert.Assert(t, contains(output, "has no reason"), output)
	})
}

// TestConfigurationAfterRestarts checks that no accepted change is lost when a
// process stops. A proxy misses all changes while it is down, and control must
// restore the newest revision from its disk after a kill.
func TestConfigurationAfterRestarts(t *testing.T) {
	const changes = 500
	fleet := start(t, smallFleet())
	fleet.Proxies[2].Kill()
	base := applyChanges(t, fleet, changes)
	t.Run("a proxy that missed hundreds of changes gets the newest revision", func(t *testing.T) {
		assert.NilError(t, fleet.Proxies[2].Start())
		awaitRevision(t, fleet, base)
	})
	t.Run("control has the newest revision after a kill", func(t *testing.T) {
		fleet.Controls[0].Kill()
		for name, revision := range revisions(t, fleet) {
			assert.Equal(t, revision, base, name)
		}
		assert.NilError(t, fleet.Controls[0].Start())
		assert.NilError(t, ctfleet.WaitUntil("control answers", func() bool {
			output, err := fleet.RunCommand("config", "get", "--control-http", fleet.ControlHTTPAddresses())
			return err == nil && contains(output, fmt.Sprintf("# revision %d\n", base))
		}))
		next, err := fleet.ApplyConfig("after-the-kill", base, 1)
		assert.NilError(t, err)
		awaitRevision(t, fleet, next)
		output, err := applyConfig(fleet, writeConfig(t, "9s"), int(base), "late")
		assert.Assert(t, err != nil)
		assert.Assert(t, contains(output, "after-the-kill"), output)
	})
}

// TestConfigurationWithoutControl checks that a proxy that restarts while control
// is down gets the newest revision nevertheless.
func TestConfigurationWithoutControl(t *testing.T) {
	shape := smallFleet()
	shape.Proxies = 2
	fleet := start(t, shape)
	newest := applyChanges(t, fleet, 3)
	awaitRevision(t, fleet, newest)
	fleet.Controls[0].Kill()
	restarted := fleet.ProxiesAt(failureDomains[1])[0]
	restarted.Kill()
	assert.NilError(t, restarted.Start())
	awaitRevision(t, fleet, newest)
}

// applyChanges applies changes one after the other, the first on top of revision
// 1, and returns the last revision.
func applyChanges(t *testing.T, fleet *ctfleet.Fleet, changes int) ctid.Revision {
	t.Helper()
	revision := ctid.Revision(1)
	for i := range changes {
		accepted, err := fleet.ApplyConfig(fmt.Sprintf("often-%d", i), revision, i+1)
		assert.NilError(t, err)
		revision = accepted
	}
	return revision
}

// revisionAfter returns the revision of a change on top of the revision base.
func revisionAfter(base int) ctid.Revision {
	return ctid.Revision(base) + 1
}
