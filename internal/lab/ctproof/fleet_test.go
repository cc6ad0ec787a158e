package ctproof

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctrelay"
)

// group is the database group of the tests.
const group = "fit-registry"

// failureDomains are the failure domains of the tests.
var failureDomains = []ctrelay.FailureDomain{"taipei-a", "taichung-a", "kaohsiung-a"}

// anyAgeConfig accepts data up to an hour old, for tests that don't check the age
// of reads.
const anyAgeConfig = `
defaults:
  reads:
    max_age: 1h
groups:
  - name: fit-registry
    size: 3
`

// callTimeout limits one statement, one connect or one planned stop. It only ends
// runs that would otherwise never end.
const callTimeout = 60 * time.Second

// smallFleet is a fleet with one control process, and with one proxy and one
// member in each failure domain.
func smallFleet() ctfleet.Shape {
	return ctfleet.Shape{
		FailureDomains: failureDomains,
		Proxies:        1,
		Controls:       1,
		Groups:         []string{group},
		Config:         anyAgeConfig,
	}
}

// start starts a fleet and waits until all members are held and all replicas have
// caught up. The fleet is stopped and checked at the end of the test.
func start(t *testing.T, shape ctfleet.Shape) *ctfleet.Fleet {
	t.Helper()
	fleet, err := ctfleet.Start(ctfleet.Options{
		Folder: t.TempDir(), BinFolder: programFolder, Shape: shape, LogLevel: os.Getenv("CTPROOF_LOG_LEVEL"),
	})
	assert.NilError(t, err)
	t.Cleanup(func() { stopAndCheck(t, fleet) })
	assert.NilError(t, fleet.AwaitReady())
	return fleet
}

// stopAndCheck checks that members' limits were respected, stops the fleet and
// checks that no process panicked. It logs state and log files if the test failed.
func stopAndCheck(t *testing.T, fleet *ctfleet.Fleet) {
	t.Helper()
	assertLimitsRespected(t, fleet)
	if t.Failed() {
		logState(t, fleet)
	}
	fleet.Stop()
	for _, p := range fleet.Processes() {
		assertNoPanic(t, p)
	}
	if t.Failed() {
		logProcessLogs(t, fleet)
	}
}

// assertLimitsRespected checks that no member ever ran more statements at once
// than it has slots, and that none was asked for more connections than it accepts.
// It skips members that do not answer.
func assertLimitsRespected(t *testing.T, fleet *ctfleet.Fleet) {
	t.Helper()
	for _, members := range fleet.Members {
		for _, m := range members {
			counters, err := fleet.Counters(m)
			if err != nil {
				continue
			}
			if counters.SlotViolations > 0 || counters.RefusedConnections > 0 {
				t.Errorf("%s exceeded its limits: %+v", m.Name, counters)
			}
		}
	}
}

// assertNoPanic checks that the log of a process has no panic, fatal error or data
// race.
func assertNoPanic(t *testing.T, p *ctfleet.Process) {
	t.Helper()
	data, err := os.ReadFile(p.LogFile)
	assert.NilError(t, err)
	for _, marker := range []string{"panic:", "DATA RACE", "fatal error:"} {
		if index := strings.Index(string(data), marker); index >= 0 {
			t.Errorf("%s: %s", p.Name, data[index:min(len(data), index+4000)])
		}
	}
}

// logState logs the status of control, and the held members and the view of each
// running proxy.
func logState(t *testing.T, fleet *ctfleet.Fleet) {
	t.Helper()
	for _, c := range fleet.Controls {
		output, _ := fleet.RunCommand("status", "--control-http", c.HTTP.String())
		t.Logf("%s:\n%s", c.Name, output)
	}
	for _, p := range fleet.Proxies {
		if !p.Running() {
			continue
		}
		held, err := fleet.HeldMembers(p)
		t.Logf("%s holds %+v %v", p.Name, held, err)
		view, err := fleet.View(p)
		t.Logf("%s has the view %+v %v", p.Name, view, err)
	}
}

// logProcessLogs logs the last tailBytes of each process's log file.
func logProcessLogs(t *testing.T, fleet *ctfleet.Fleet) {
	t.Helper()
	const tailBytes = 20000
	for _, p := range fleet.Processes() {
		data, err := os.ReadFile(p.LogFile)
		if err != nil {
			continue
		}
		t.Logf("%s:\n%s", p.Name, data[max(0, len(data)-tailBytes):])
	}
}

// startupParameters are the start-up parameters of a session, by name.
type startupParameters map[string]string

// dial opens a session through a proxy. The caller closes it.
func dial(proxy *ctfleet.Process, parameters startupParameters) (*pgconn.PgConn, error) {
	config, err := pgconn.ParseConfig("postgres://lab@" + proxy.Listen.String() + "/" + group + "?sslmode=disable")
	if err != nil {
		return nil, err
	}
	for name, value := range parameters {
		config.RuntimeParams[name] = value
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return pgconn.ConnectConfig(ctx, config)
}

// open opens a session through a proxy and closes it at the end of the test. An
// error fails the test.
func open(t *testing.T, proxy *ctfleet.Process, parameters startupParameters) *pgconn.PgConn {
	t.Helper()
	session, err := dial(proxy, parameters)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = session.Close(context.Background()) })
	return session
}

// run sends a simple query and returns the values of all its rows in one list.
func run(session *pgconn.PgConn, text string) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	results, err := session.Exec(ctx, text).ReadAll()
	var values []string
	for _, r := range results {
		for _, row := range r.Rows {
			for _, v := range row {
				values = append(values, string(v))
			}
		}
	}
	return values, err
}

// mustRun is run for a text that must succeed.
func mustRun(t *testing.T, session *pgconn.PgConn, text string) []string {
	t.Helper()
	values, err := run(session, text)
	assert.NilError(t, err, text)
	return values
}

// tokenOf returns the newest session token that the proxy sent to the session.
func tokenOf(session *pgconn.PgConn) string {
	return session.ParameterStatus("cherviltrestle.token")
}
