package ctcommand

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// maxLineBytes is the length of the longest log line that can be read.
const maxLineBytes = 1 << 20

// decision is a log line that records a decision, as ctlog.Decision writes it.
type decision struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Request string    `json:"request"`
	// Decision names the kind of decision, such as route. It is empty in other log
	// lines.
	Decision       string `json:"decision"`
	DecisionReason string `json:"why,omitempty"`
	Group          string `json:"group,omitempty"`
	Member         string `json:"member,omitempty"`
	Holder         string `json:"holder,omitempty"`
	Outcome        string `json:"outcome,omitempty"`
	OutcomeReason  string `json:"reason,omitempty"`
	Point          string `json:"point,omitempty"`
}

// String renders the decision as one line of text. Empty fields are left out.
func (d *decision) String() string {
	line := fmt.Sprintf("%s %s %s", d.Time.Format(time.RFC3339Nano), d.Process, d.Decision)
	for _, f := range []struct{ name, value string }{
		{"why", d.DecisionReason},
		{"group", d.Group},
		{"member", d.Member},
		{"holder", d.Holder},
		{"outcome", d.Outcome},
		{"reason", d.OutcomeReason},
		{"point", d.Point},
		{"request", d.Request},
	} {
		if f.value != "" {
			line += " " + f.name + "=" + f.value
		}
	}
	return line
}

// matches reports whether the decision is on the request with the given id, or on a
// request whose id begins with the given one and a slash. The latter finds all
// requests of a session.
func (d *decision) matches(request string) bool {
	return d.Request == request || strings.HasPrefix(d.Request, request+"/")
}

// findDecisions returns the decisions that match a request in the given log files and
// folders, sorted by time.
func findDecisions(logs []string, request string) ([]*decision, error) {
	files, err := logFiles(logs)
	if err != nil {
		return nil, err
	}
	var found []*decision
	for _, file := range files {
		inFile, err := readDecisions(file, request)
		if err != nil {
			return nil, err
		}
		found = append(found, inFile...)
	}
	slices.SortStableFunc(found, func(a, b *decision) int { return a.Time.Compare(b.Time) })
	return found, nil
}

// logFiles returns the files among logs, and the files that end in .log of the folders
// among them. It returns an error if logs is empty.
func logFiles(logs []string) ([]string, error) {
	if len(logs) == 0 {
		return nil, cterror.New(cterror.Invalid, "--logs is missing", "name the log files of the processes")
	}
	var files []string
	for _, l := range logs {
		info, err := os.Stat(l)
		if err != nil {
			return nil, cterror.Wrap(cterror.Invalid, err, "read the log "+l, "name a file or a folder with --logs")
		}
		if !info.IsDir() {
			files = append(files, l)
			continue
		}
		inFolder, err := filepath.Glob(filepath.Join(l, "*.log"))
		if err != nil {
			return nil, cterror.Wrap(cterror.Invalid, err, "list the logs in "+l, "name the files with --logs")
		}
		files = append(files, inFolder...)
	}
	return files, nil
}

// readDecisions returns the decisions that match a request in one log file. It skips
// all other lines. They need not be JSON: a crash may have written its stack trace.
func readDecisions(file, request string) ([]*decision, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, cterror.Wrap(cterror.Invalid, err, "read the log "+file, "name a file that can be read")
	}
	defer func() { _ = f.Close() }()
	var found []*decision
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		d := &decision{}
		if json.Unmarshal(scanner.Bytes(), d) == nil && d.Decision != "" && d.matches(request) {
			found = append(found, d)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, cterror.Wrap(cterror.Invalid, err, "read the log "+file, "split or cut the file")
	}
	return found, nil
}
