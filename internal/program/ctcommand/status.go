package ctcommand

import (
	"net/http"

	"github.com/spf13/cobra"

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
			var status ctcontrol.Status
			if err := c.call(command.Context(), http.MethodGet, "/v1/status", nil, &status); err != nil {
				return err
			}
			return c.print(command, status, func() { printStatus(command, &status) })
		},
	}
	c.register(command.Flags())
	command.SetOut(environment.Out)
	return command
}

// printStatus writes the status as text.
func printStatus(command *cobra.Command, status *ctcontrol.Status) {
	command.Printf("control: %s answers, %s leads\n", status.Control, status.Leader)
	for _, v := range status.Voters {
		command.Printf("  voter %s (disk %x)\n", v.Name, uint64(v.Incarnation))
	}
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
