package ctsettings

import (
	"time"

	"github.com/spf13/pflag"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// The default and the bounds of Control.ReportTimeout.
const (
	defaultReportTimeout = 900 * time.Millisecond
	minReportTimeout     = 100 * time.Millisecond
	maxReportTimeout     = 30 * time.Second
)

// Control holds the settings of a control process.
type Control struct {
	Common
	// Name is unique in the fleet.
	Name ctid.Control
	// PeerListen is the UDP address for proxies and other control processes.
	PeerListen Address
	// Peers are the other control processes.
	Peers ControlPeers
	// DataFolder holds the durable state of the process and must be on a disk.
	DataFolder string
	// ReportTimeout is how long a proxy or a member may go unreported before it
	// counts as gone.
	ReportTimeout time.Duration
}

// Register declares the settings as flags.
func (c *Control) Register(flags *pflag.FlagSet) {
	c.Common.Register(flags)
	textVar(flags, &c.Name, "name", "name", "name of this control process, unique in the fleet")
	textVar(flags, &c.PeerListen, "peer-listen", "address", "UDP address for the system's other processes")
	flags.DurationVar(&c.ReportTimeout, "silence-time", defaultReportTimeout,
		"how long a proxy or a member may go unheard of before it counts as gone")
	textVar(flags, &c.Peers, "controls", "names",
		"the other control processes as name=address, with commas; addresses are UDP")
	flags.StringVar(&c.DataFolder, "data", "", "data folder, on a disk")
}

// Check returns an error of kind cterror.Invalid for the first setting that is
// missing or out of bounds.
func (c *Control) Check() error {
	if err := c.Common.Check(); err != nil {
		return err
	}
	switch {
	case c.Name == "":
		return missingError("name")
	case !c.PeerListen.IsValid():
		return missingError("peer-listen")
	case c.DataFolder == "":
		return missingError("data")
	case c.ReportTimeout < minReportTimeout || c.ReportTimeout > maxReportTimeout:
		return outOfBoundsError("silence-time", "100ms to 30s")
	}
	return nil
}
