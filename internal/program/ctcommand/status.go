package ctcommand

import (
	"context"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctquorum"
	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctcontrol"
)

func newStatus(environment Environment) *cobra.Command {
	var c client
	command := &cobra.Command{
		Use:   "status",
		Short: "Show the fleet: proxies, members, groups and the configuration in force",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			status, err := c.status(command.Context())
			if err != nil {
				return err
			}
			return c.print(command, status, func() { printStatus(command, status) })
		},
	}
	c.register(command.Flags())
	command.SetOut(environment.Out)
	return command
}

// status requests the state of the fleet from the control processes, in turn until the leader
// answers. Without its answer, it returns the first one.
func (c *client) status(ctx context.Context) (*ctcontrol.Status, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	var first *ctcontrol.Status
	var lastErr error
	for _, address := range c.control {
		status := &ctcontrol.Status{}
		if err := callAddress(ctx, http.MethodGet, "http://"+address.String()+"/v1/status", nil, status); err != nil {
			lastErr = err
			continue
		}
		if status.Authority {
			return status, nil
		}
		if first == nil {
			first = status
		}
	}
	if first == nil {
		return nil, lastErr
	}
	return first, nil
}

// printStatus writes the status as text.
func printStatus(command *cobra.Command, status *ctcontrol.Status) {
	if status.Leader == "" {
		command.Printf("control: %s answers, it knows no leader\n", status.Control)
	} else {
		command.Printf("control: %s answers, %s leads\n", status.Control, status.Leader)
	}
	printQuorum(command, status)
	command.Printf("configuration: revision %s, not confirmed by %d proxies\n",
		status.Revision, len(status.Unconfirmed))
	for _, name := range status.Unconfirmed {
		command.Printf("  not confirmed: %s\n", name)
	}
	if status.View == nil {
		return
	}
	for _, g := range status.View.Groups {
		command.Printf("group %s: primary %s, term %d", g.Name, g.Primary, g.Term)
		if reason := status.Blocked[g.Name]; reason != "" {
			command.Printf(", waits: %s", reason)
		}
		command.Println()
	}
	for _, m := range status.View.Members {
		command.Printf("member %s: group %s, %s, %s, %s\n", m.Member, m.Group, m.FailureDomain, m.Role, m.State)
	}
	for _, p := range status.View.Proxies {
		command.Printf("proxy %s: %s, %s, %s\n", p.Name, p.FailureDomain, p.Address, p.State)
	}
}

// printQuorum writes what the process knows of control's voters. One that does not lead knows
// their names only.
func printQuorum(command *cobra.Command, status *ctcontrol.Status) {
	quorum := &status.Quorum
	if quorum.Margin != "" {
		command.Printf("voters: %s\n", quorum.Margin)
	}
	for _, v := range quorum.Voters {
		printPeer(command, "voter", v)
	}
	for _, l := range quorum.Learners {
		printPeer(command, "learner", l)
	}
	if len(quorum.Voters) == 0 {
		for _, v := range status.Voters {
			command.Printf("  voter %s (disk %x)\n", v.Name, uint64(v.Incarnation))
		}
	}
	if quorum.JoiningFor > 0 {
		command.Printf("%s has heard no leader for %s\n", status.Control, time.Duration(quorum.JoiningFor))
	}
	for i := range quorum.Processes {
		printLink(command, &quorum.Processes[i])
	}
}

// printLink writes what came back from a process that is asked to join, or that wrote.
func printLink(command *cobra.Command, l *ctcontrol.LinkState) {
	command.Printf("  %s: ", l.Process)
	switch {
	case !l.Asked && l.Received != "":
		command.Printf("not asked to join; its last message is %s", l.Received)
	case !l.Asked:
		command.Printf("not asked to join; no message from it")
	case l.Answer != "" && l.AnswerLeader != "":
		command.Printf("answered %s, follows %s", l.Answer, l.AnswerLeader)
	case l.Answer != "":
		command.Printf("answered %s", l.Answer)
	case l.StreamOpen:
		command.Printf("asked, no answer")
	default:
		command.Printf("no stream (%s)", l.LastError)
	}
	command.Println()
}

// printPeer writes how far a process is that receives the log.
func printPeer(command *cobra.Command, role string, p ctcontrol.PeerProgress) {
	command.Printf("  %s %s (disk %x): %d entries behind, silent for %s", role, p.Name, uint64(p.Incarnation),
		p.Behind, time.Duration(p.Silent))
	if p.Stalled > 0 {
		command.Printf(", took the last ones %s ago", time.Duration(p.Stalled))
	}
	if p.Lost != ctquorum.NotLost {
		command.Printf(", lost: %s", p.Lost)
	}
	command.Println()
}

// newDeeds returns the command deeds, which lists the audit entries.
func newDeeds(environment Environment) *cobra.Command {
	var c client
	command := &cobra.Command{
		Use:   "deeds",
		Short: "List the decisions on groups: changes of primaries and why they were made",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var entries []ctregister.AuditEntry
			if err := c.call(command.Context(), http.MethodGet, "/v1/deeds", nil, &entries); err != nil {
				return err
			}
			return c.print(command, entries, func() {
				for _, e := range entries {
					command.Printf("%s\t%s\tterm %d\tfence %d\tprimary %s\t%s\n", e.At.Format("15:04:05.000"),
						e.Group.Name, e.Group.Term, e.Group.Fence, e.Group.Primary, e.Reason)
				}
			})
		},
	}
	c.register(command.Flags())
	command.SetOut(environment.Out)
	return command
}
