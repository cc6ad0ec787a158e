package ctlabcommand

import (
	"io"
	"net/netip"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctstandin"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/work/ctclock"
)

// Defaults of a stand-in.
const (
	defaultSlots            = 5
	defaultConnections      = 75
	defaultAnnounceInterval = 500 * time.Millisecond
)

// standinFlags holds the flags of the stand-in command.
type standinFlags struct {
	group, member, failureDomain, role   string
	listen, admin, primary               string
	announceTo                           []string
	slots, connections                   int
	connectDelay, announceInterval       time.Duration
	statementDelay, receiveLag, applyLag time.Duration
}

// newStandin returns the command that runs a stand-in, which logs to errorOutput.
func newStandin(errorOutput io.Writer) *cobra.Command {
	var s standinFlags
	command := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in backend server",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			options, err := s.options()
			if err != nil {
				return err
			}
			options.Logger = zerolog.New(errorOutput).With().Timestamp().Str("role", "standin").
				Str("process", s.member).Logger()
			return ctstandin.New(options).Run(command.Context())
		},
	}
	flags := command.Flags()
	flags.StringVar(&s.group, "group", "", "database group")
	flags.StringVar(&s.member, "member", "", "name of the member")
	flags.StringVar(&s.failureDomain, "failure-domain", "", "failure domain")
	flags.StringVar(&s.role, "role", string(ctserver.RoleReplica), "primary or replica")
	flags.StringVar(&s.listen, "listen", "", "TCP address of the PostgreSQL protocol")
	flags.StringVar(&s.admin, "admin-listen", "", "TCP address for faults and counters")
	flags.StringVar(&s.primary, "primary", "", "address of the primary that a replica follows")
	flags.StringSliceVar(&s.announceTo, "announce", nil, "HTTP addresses of proxies")
	flags.IntVar(&s.slots, "slots", defaultSlots, "statements at once")
	flags.IntVar(&s.connections, "connections", defaultConnections, "connections at once")
	flags.DurationVar(&s.connectDelay, "connect-time", 0, "time that a new connection takes")
	flags.DurationVar(&s.announceInterval, "interval", defaultAnnounceInterval, "time between announcements")
	flags.DurationVar(&s.statementDelay, "service-time", 0, "time that a statement takes")
	flags.DurationVar(&s.receiveLag, "receive-lag", 0, "delay after which a replica receives the log")
	flags.DurationVar(&s.applyLag, "apply-lag", 0, "delay after which a replica shows what it received")
	return command
}

// options returns the stand-in's options, or an error if an address can't be parsed.
func (s *standinFlags) options() (ctstandin.Options, error) {
	options := ctstandin.Options{
		Group:            ctid.Group(s.group),
		Member:           ctid.Member(s.member),
		FailureDomain:    ctid.FailureDomain(s.failureDomain),
		Role:             ctserver.Role(s.role),
		AnnounceInterval: s.announceInterval,
		Slots:            s.slots,
		Connections:      s.connections,
		ConnectDelay:     s.connectDelay,
		Clock:            ctclock.System{},
		Faults: ctstandin.Faults{
			StatementDelay: milliseconds(s.statementDelay),
			ReceiveLag:     milliseconds(s.receiveLag),
			ApplyLag:       milliseconds(s.applyLag),
		},
	}
	var err error
	if options.Listen, err = parseAddress(s.listen, "listen"); err != nil {
		return options, err
	}
	if options.Admin, err = parseAddress(s.admin, "admin-listen"); err != nil {
		return options, err
	}
	if s.primary != "" {
		if options.Primary, err = parseAddress(s.primary, "primary"); err != nil {
			return options, err
		}
	}
	for _, a := range s.announceTo {
		parsed, err := parseAddress(a, "announce")
		if err != nil {
			return options, err
		}
		options.AnnounceTo = append(options.AnnounceTo, parsed)
	}
	return options, nil
}

func milliseconds(d time.Duration) ctstandin.Milliseconds {
	return ctstandin.Milliseconds(d / time.Millisecond)
}

// parseAddress parses the value of a flag as an IP address and a port.
func parseAddress(text, flag string) (netip.AddrPort, error) {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return parsed, cterror.Newf(cterror.Invalid, "write an IP number and a port", "--%s %q can't be read", flag, text)
	}
	return parsed, nil
}
