package ctproof

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
)

// step is one statement of a recorded session.
type step struct {
	send string
	// awaitReplicas waits until the replicas have caught up before the statement
	// is sent.
	awaitReplicas bool
}

// TestGoldenSessions compares recorded sessions with golden files. It guards
// against unintended changes of the messages that a caller receives and of the
// decisions that proxies log.
func TestGoldenSessions(t *testing.T) {
	for _, session := range []struct {
		name  string
		steps []step
	}{
		{"read", []step{{send: "SELECT value FROM charts WHERE key = 'm8'"}, {send: "SELECT count(*) FROM charts"}}},
		{"write", []step{
			{send: "INSERT INTO charts (key, value) VALUES ('m8', '21.5')"},
			{send: "SELECT value FROM charts WHERE key = 'm8'", awaitReplicas: true},
		}},
		{"transaction", []step{
			{send: "INSERT INTO charts (key, value) VALUES ('m8', '21.5')"},
			{send: "BEGIN"},
			{send: "UPDATE charts SET value = '21.6' WHERE key = 'm8'"},
			{send: "SELECT value FROM charts WHERE key = 'm8'"},
			{send: "COMMIT"},
			{send: "BEGIN READ ONLY", awaitReplicas: true},
			{send: "SELECT value FROM charts WHERE key = 'm8'"},
			{send: "ROLLBACK"},
		}},
		{"error", []step{
			{send: "SELEKT 1"},
			{send: "SELECT 1/0"},
			{send: "COPY charts FROM STDIN"},
			{send: "SET search_path = 'other'"},
			{send: "BEGIN"},
			{send: "SELECT 1/0"},
			{send: "SELECT 1"},
			{send: "ROLLBACK"},
		}},
		{"disconnect", []step{
			{send: "BEGIN"},
			{send: "INSERT INTO charts (key, value) VALUES ('gone', '1')"},
		}},
	} {
		t.Run(session.name, func(t *testing.T) {
			fleet := start(t, smallFleet())
			transcript := recordSession(t, fleet, session.steps)
			if session.name == "disconnect" {
				transcript += "-- another session, after the disconnect\n"
				transcript += recordSession(t, fleet, []step{
					{send: "SELECT count(*) FROM charts WHERE key = 'gone'", awaitReplicas: true},
				})
			}
			golden.Assert(t, transcript, session.name+".golden")
		})
	}
}

// recordSession runs the steps in a new session through the first proxy. It
// returns the statements, the answers and the logged decisions as text.
func recordSession(t *testing.T, fleet *ctfleet.Fleet, steps []step) string {
	t.Helper()
	proxy := fleet.Proxies[0]
	session := dialRaw(t, proxy)
	lineOffsets := lineCounts(t, fleet)
	var out strings.Builder
	for _, s := range steps {
		if s.awaitReplicas {
			assert.NilError(t, fleet.AwaitReady())
		}
		fmt.Fprintf(&out, "> %s\n", s.send)
		for _, line := range session.query(t, s.send) {
			fmt.Fprintf(&out, "< %s\n", line)
		}
	}
	session.close()
	for _, line := range decisionLines(t, fleet, lineOffsets) {
		fmt.Fprintf(&out, "# %s\n", line)
	}
	return out.String()
}

// variableParts matches the parts of a transcript that differ from run to run.
var variableParts = regexp.MustCompile(`proxy-taipei-a-0/[0-9a-f]+/[0-9]+/`)

// normalize replaces the parts of a text that differ from run to run.
func normalize(text string) string {
	return variableParts.ReplaceAllString(text, "proxy-taipei-a-0/RUN/SESSION/")
}

// decisionFields are the fields of a decision that a transcript shows, in order.
var decisionFields = []string{"decision", "request", "member", "to", "need", "outcome", "point", "why", "reason"}

// decisionLines returns the decisions on requests that the proxies logged after
// the given line of each log, proxy by proxy.
func decisionLines(t *testing.T, fleet *ctfleet.Fleet, lineOffsets map[string]int) []string {
	t.Helper()
	var lines []string
	for _, p := range fleet.Proxies {
		for _, line := range logLines(t, p)[lineOffsets[p.Name]:] {
			var fields map[string]any
			if json.Unmarshal([]byte(line), &fields) != nil || fields["request"] == nil {
				continue
			}
			parts := []string{p.Name + ":"}
			for _, name := range decisionFields {
				if value, ok := fields[name]; ok {
					parts = append(parts, fmt.Sprintf("%s=%v", name, value))
				}
			}
			lines = append(lines, normalize(strings.Join(parts, " ")))
		}
	}
	return lines
}

// lineCounts returns the number of lines in each proxy's log, by proxy name.
func lineCounts(t *testing.T, fleet *ctfleet.Fleet) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for _, p := range fleet.Proxies {
		counts[p.Name] = len(logLines(t, p))
	}
	return counts
}

func logLines(t *testing.T, p *ctfleet.Process) []string {
	t.Helper()
	file, err := os.Open(p.LogFile)
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	var lines []string
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	return lines
}

// formatMessage formats a message of the proxy as a line. It hides the token,
// which differs from run to run.
func formatMessage(message pgproto3.BackendMessage) string {
	switch m := message.(type) {
	case *pgproto3.RowDescription:
		names := make([]string, len(m.Fields))
		for i, f := range m.Fields {
			names[i] = string(f.Name)
		}
		return "RowDescription " + strings.Join(names, ",")
	case *pgproto3.DataRow:
		values := make([]string, len(m.Values))
		for i, v := range m.Values {
			values[i] = string(v)
		}
		return "DataRow " + strings.Join(values, ",")
	case *pgproto3.CommandComplete:
		return "CommandComplete " + string(m.CommandTag)
	case *pgproto3.ReadyForQuery:
		return "ReadyForQuery " + string(m.TxStatus)
	case *pgproto3.ErrorResponse:
		return normalize(fmt.Sprintf("ErrorResponse %s %s: %s (%s)", m.Severity, m.Code, m.Message, m.Detail))
	case *pgproto3.ParameterStatus:
		if m.Name == "cherviltrestle.token" {
			return "ParameterStatus " + m.Name + "=TOKEN"
		}
		return "ParameterStatus " + m.Name + "=" + m.Value
	}
	return fmt.Sprintf("%T", message)
}
