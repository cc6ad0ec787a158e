package ctcommand

import (
	"net/http"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctserver"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctview"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctcontrol"
)

func newExplain(environment Environment) *cobra.Command {
	command := &cobra.Command{
		Use:   "explain",
		Short: "Tell what was decided on a request or a group, when, by which process and why",
	}
	command.AddCommand(newExplainRequest(), newExplainGroup())
	command.SetOut(environment.Out)
	return command
}

func newExplainRequest() *cobra.Command {
	var logs []string
	var output string
	command := &cobra.Command{
		Use:   "request ID",
		Short: "Show the decisions on a request from the logs of the processes",
		Long: "Show the decisions on a request in the order of their times. The id stands in the detail of errors and\n" +
			"in the logs; a session's requests are found by the part of the id before its last slash.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			lines, err := findDecisions(logs, arguments[0])
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return cterror.Newf(cterror.Unavailable, "name the logs of all processes with --logs",
					"no decision on request %s was found", arguments[0])
			}
			c := client{output: output}
			return c.print(command, lines, func() {
				for _, l := range lines {
					command.Println(l.String())
				}
			})
		},
	}
	command.Flags().StringSliceVar(&logs, "logs", nil, "log files, or folders with files that end in .log")
	command.Flags().StringVar(&output, "output", outputText, "text or json")
	return command
}

// groupAccount is what is known of a group.
type groupAccount struct {
	Group     ctview.Group            `json:"group"`
	Blocked   string                  `json:"blocked,omitempty"`
	Members   []ctserver.Announcement `json:"members"`
	Settings  ctconfig.Settings       `json:"settings"`
	Exception *ctconfig.Exception     `json:"exception,omitempty"`
	Deeds     []ctregister.AuditEntry `json:"deeds"`
}

func newExplainGroup() *cobra.Command {
	var c client
	command := &cobra.Command{
		Use:   "group NAME",
		Short: "Show a group: its primary, what it waits for, its settings, and every change with its reason",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			account, err := c.accountOf(command, ctid.Group(arguments[0]), time.Now())
			if err != nil {
				return err
			}
			return c.print(command, account, func() { account.show(command) })
		},
	}
	c.register(command.Flags())
	return command
}

// accountOf asks control for all that is known of a group.
func (c *client) accountOf(command *cobra.Command, name ctid.Group, now time.Time) (*groupAccount, error) {
	var status ctcontrol.Status
	if err := c.call(command.Context(), http.MethodGet, "/v1/status", nil, &status); err != nil {
		return nil, err
	}
	var deeds []ctregister.AuditEntry
	if err := c.call(command.Context(), http.MethodGet, "/v1/deeds", nil, &deeds); err != nil {
		return nil, err
	}
	newest, err := c.newest(command)
	if err != nil {
		return nil, err
	}
	account := &groupAccount{Group: ctview.Group{Name: name}, Blocked: status.Blocked[name]}
	if !account.configure(&newest.Change.Document, now) {
		return nil, cterror.Newf(cterror.Invalid, "see config get for the declared groups",
			"group %s is not declared", name)
	}
	account.observe(status.View)
	account.Deeds = slices.DeleteFunc(deeds, func(d ctregister.AuditEntry) bool { return d.Group.Name != name })
	return account, nil
}

// configure takes what the configuration says of the group and reports whether
// the group is declared.
func (a *groupAccount) configure(document *ctconfig.Document, now time.Time) bool {
	if _, declared := document.Group(a.Group.Name); !declared {
		return false
	}
	a.Settings = document.EffectiveSettings(a.Group.Name, now)
	for i := range document.Exceptions {
		if e := &document.Exceptions[i]; e.Group == a.Group.Name && e.InForce(now) {
			a.Exception = e
		}
	}
	return true
}

// observe takes what the view says of the group.
func (a *groupAccount) observe(view *ctview.Delta) {
	if view == nil {
		return
	}
	for _, g := range view.Groups {
		if g.Name == a.Group.Name {
			a.Group = g
		}
	}
	for _, m := range view.Members {
		if m.Group == a.Group.Name {
			a.Members = append(a.Members, m)
		}
	}
}

func (a *groupAccount) show(command *cobra.Command) {
	command.Printf("group %s: primary %s, term %d\n", a.Group.Name, a.Group.Primary, a.Group.Term)
	if a.Group.Fence > a.Group.Term {
		command.Printf("  is being moved to term %d\n", a.Group.Fence)
	}
	if a.Group.PrimaryRetiring() {
		command.Println("  the primary leaves and takes no new work")
	}
	if a.Blocked != "" {
		command.Printf("  waits: %s\n", a.Blocked)
	}
	if a.Exception != nil {
		command.Printf("  exception: %s (%s)\n", a.Exception.Reason, a.Exception.ExpiryText())
	}
	for _, m := range a.Members {
		command.Printf("  member %s: %s, %s, %s\n", m.Member, m.FailureDomain, m.Role, m.State)
	}
	for _, d := range a.Deeds {
		command.Printf("  %s %s: term %d, fence %d, primary %s\n",
			d.At.Format(time.RFC3339Nano), d.Reason, d.Group.Term, d.Group.Fence, d.Group.Primary)
	}
}
