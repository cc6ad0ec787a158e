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

// group is the database group of most proofs.
const group = "fit-registry"

// sites are the failure domains of most proofs.
var sites = []ctrelay.Site{"taipei-a", "taichung-a", "kaohsiung-a"}

// anyAgeConfig accepts reads of any age, where age is not what is proved.
const anyAgeConfig = `
defaults:
  reads:
    max_age: 1h
groups:
  - name: fit-registry
    size: 3
`

// callTimeout bounds one statement. It only ends runs that would never end.
const callTimeout = 60 * time.Second

// smallFleet is a fleet of one proxy and one member in each failure domain.
func smallFleet() ctfleet.Shape {
	return ctfleet.Shape{Sites: sites, Proxies: 1, Controls: 1, Groups: []string{group}, Config: anyAgeConfig}
}

// start starts a fleet and waits until it serves.
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

// stopAndCheck stops a fleet and checks what must hold at the end of every proof.
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

// assertLimitsRespected checks that no member ever ran more statements at once than
// it has slots, or had more connections than it accepts.
func assertLimitsRespected(t *testing.T, fleet *ctfleet.Fleet) {
	t.Helper()
	for _, members := range fleet.Members {
		for _, m := range members {
			counters, err := fleet.Counters(m)
			if err != nil {
				continue
			}
			if counters.SlotViolations > 0 || counters.RefusedConnections > 0 {
				t.Errorf("%s went over its limits: %+v", m.Name, counters)
			}
		}
	}
}

// assertNoPanic checks that a process neither panicked nor raced.
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

// logState prints what control and the proxies know.
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
		t.Logf("%s knows %+v %v", p.Name, view, err)
	}
}

// logProcessLogs prints the ends of all logs.
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

// startupParameters are start-up parameters of a session.
type startupParameters map[string]string

// dial opens a session through a proxy.
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

// open opens a session that must succeed.
func open(t *testing.T, proxy *ctfleet.Process, parameters startupParameters) *pgconn.PgConn {
	t.Helper()
	session, err := dial(proxy, parameters)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = session.Close(context.Background()) })
	return session
}

// run runs a text and returns the values of its rows.
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

// mustRun runs a text that must succeed and returns its values.
func mustRun(t *testing.T, session *pgconn.PgConn, text string) []string {
	t.Helper()
	values, err := run(session, text)
	assert.NilError(t, err, text)
	return values
}

// tokenOf returns the token that the session was given last.
func tokenOf(session *pgconn.PgConn) string {
	return session.ParameterStatus("cherviltrestle.token")
}
