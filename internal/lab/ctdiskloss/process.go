package ctdiskloss

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctfleet"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctnode"
	"github.com/cherviltrestle/cherviltrestle/platform"
)

// process is a control process or a proxy.
type process struct {
	*ctfleet.Process
	settings     ctnode.Settings
	settingsFile string
	isSeed       bool
	// runOffset is the size of the log file at the last start, and startedAt the time of that start.
	runOffset int64
	startedAt time.Time
	// lostAt counts the losses so far at the time when the process last lost its disk.
	lostAt int
}

func (s *System) newProcess(role string, settings ctnode.Settings) *process {
	p := &process{settings: settings, settingsFile: filepath.Join(s.Folder, settings.Name+".conf")}
	p.Process = ctfleet.NewProcess(settings.Name, filepath.Join(s.Folder, settings.Name+".log"),
		filepath.Join(s.BinFolder, "cherviltrestle"), []string{"platform", role},
		[]string{platform.SettingsPathVariable + "=" + p.settingsFile})
	return p
}

// peer returns the name of a control process in logs of control.
func (p *process) peer() ctid.Control {
	return ctid.Control(p.settings.IP.String())
}

// operatorAddress is where a control process serves operators and members.
func (p *process) operatorAddress() netip.AddrPort {
	return p.settings.OperatorAddress
}

// start writes the settings and starts the process. Later starts are no first start of the fleet.
func (p *process) start() error {
	if p.settings.DataFolder != "" {
		if err := os.MkdirAll(p.settings.DataFolder, 0o700); err != nil {
			return errors.Wrap(err, "make a data folder")
		}
	}
	if err := os.WriteFile(p.settingsFile, []byte(platform.RenderSettings(p.settings)), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	p.settings.Bootstrap = false
	p.runOffset = 0
	if info, err := os.Stat(p.LogFile); err == nil {
		p.runOffset = info.Size()
	}
	p.startedAt = time.Now()
	return p.Start()
}

// loseDisk removes the data of a process that does not run.
func (p *process) loseDisk() error {
	return errors.Wrap(os.RemoveAll(p.settings.DataFolder), "remove a data folder")
}

// view is what a control process has logged since its last start.
type view struct {
	// self is the zero value before the process has started.
	self ctquorum.Peer
	// leader is empty while the process hears none.
	leader ctid.Control
	// voters is the last list that was committed, or nil.
	voters []ctquorum.Peer
}

// view reads the log of the present run.
func (p *process) view() (view, error) {
	data, err := os.ReadFile(p.LogFile)
	if err != nil {
		return view{}, errors.Wrap(err, "read the log of "+p.Name)
	}
	return parseView(p.peer(), data[min(p.runOffset, int64(len(data))):]), nil
}

// parseView returns what a control process knows after the lines of its log. Other lines are ignored.
func parseView(self ctid.Control, log []byte) view {
	var v view
	for line := range bytes.Lines(log) {
		var l struct {
			Event       string           `json:"event"`
			Decision    string           `json:"decision"`
			Name        ctid.Control     `json:"name"`
			Incarnation ctid.Incarnation `json:"incarnation"`
			Leader      ctid.Control     `json:"leader"`
			Voters      []ctquorum.Peer  `json:"voters"`
		}
		if json.Unmarshal(line, &l) != nil {
			continue
		}
		switch {
		case l.Event == "started":
			v.self = ctquorum.Peer{Name: l.Name, Incarnation: l.Incarnation}
		case l.Decision == "lead_control":
			v.leader = self
		case l.Decision == "follow_control":
			v.leader = l.Leader
		case l.Decision == "control_voters":
			v.voters = l.Voters
		}
	}
	return v
}
