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
)

func newExplain(environment Environment) *cobra.Command {
	command := &cobra.Command{
		Use:   "explain",
		Short: "Show what was decided on a request or a group, or would be on a statement, and why",
	}
	command.AddCommand(newExplainRequest(), newExplainGroup(), newExplainPlacement())
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

// groupExplanation is the output of the command explain group.
type groupExplanation struct {
	Group        ctview.Group            `json:"group"`
	Blocked      string                  `json:"blocked,omitempty"`
	Members      []ctserver.Announcement `json:"members"`
	Settings     ctconfig.Settings       `json:"settings"`
	Exception    *ctconfig.Exception     `json:"exception,omitempty"`
	AuditEntries []ctregister.AuditEntry `json:"deeds"`
}

func newExplainGroup() *cobra.Command {
	var c client
	command := &cobra.Command{
		Use:   "group NAME",
		Short: "Show a group: its primary, what it waits for, its settings, and every change with its reason",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			explanation, err := c.explainGroup(command, ctid.Group(arguments[0]), time.Now())
			if err != nil {
				return err
			}
			return c.print(command, explanation, func() { explanation.printText(command) })
		},
	}
	c.register(command.Flags())
	return command
}

// explainGroup requests the state, the configuration and the audit entries of a group
// from control. It returns an error of kind cterror.Invalid if the group is not
// declared.
func (c *client) explainGroup(command *cobra.Command, name ctid.Group, now time.Time) (*groupExplanation, error) {
	status, err := c.status(command.Context())
	if err != nil {
		return nil, err
	}
	var entries []ctregister.AuditEntry
	if err := c.call(command.Context(), http.MethodGet, "/v1/deeds", nil, &entries); err != nil {
		return nil, err
	}
	newest, err := c.newestConfig(command)
	if err != nil {
		return nil, err
	}
	explanation := &groupExplanation{Group: ctview.Group{Name: name}, Blocked: status.Blocked[name]}
	if !explanation.applyConfig(&newest.Change.Document, now) {
		return nil, cterror.Newf(cterror.Invalid, "see config get for the declared groups",
			"group %s is not declared", name)
	}
	explanation.applyView(status.View)
	explanation.AuditEntries = slices.DeleteFunc(entries, func(e ctregister.AuditEntry) bool {
		return e.Group.Name != name
	})
	return explanation, nil
}

// applyConfig sets the settings that apply to the group now, and the exception that is
// in force, if any. It returns false if the group is not declared.
func (e *groupExplanation) applyConfig(document *ctconfig.Document, now time.Time) bool {
	if _, declared := document.Group(e.Group.Name); !declared {
		return false
	}
	e.Settings = document.EffectiveSettings(e.Group.Name, now)
	for i := range document.Exceptions {
		if exception := &document.Exceptions[i]; exception.Group == e.Group.Name && exception.InForce(now) {
			e.Exception = exception
		}
	}
	return true
}

// applyView sets the group's state and its members from the view. The view is nil if
// control has sent none.
func (e *groupExplanation) applyView(view *ctview.Delta) {
	if view == nil {
		return
	}
	for _, g := range view.Groups {
		if g.Name == e.Group.Name {
			e.Group = g
		}
	}
	for _, m := range view.Members {
		if m.Group == e.Group.Name {
			e.Members = append(e.Members, m)
		}
	}
}

// printText writes the explanation as text.
func (e *groupExplanation) printText(command *cobra.Command) {
	command.Printf("group %s: primary %s, term %d\n", e.Group.Name, e.Group.Primary, e.Group.Term)
	if e.Group.Fence > e.Group.Term {
		command.Printf("  is being moved to term %d\n", e.Group.Fence)
	}
	if e.Group.PrimaryRetiring() {
		command.Println("  the primary leaves and takes no new work")
	}
	if e.Blocked != "" {
		command.Printf("  waits: %s\n", e.Blocked)
	}
	if e.Exception != nil {
		command.Printf("  exception: %s (%s)\n", e.Exception.Reason, e.Exception.ExpiryText())
	}
	for _, m := range e.Members {
		command.Printf("  member %s: %s, %s, %s\n", m.Member, m.FailureDomain, m.Role, m.State)
	}
	for _, entry := range e.AuditEntries {
		command.Printf("  %s %s: term %d, fence %d, primary %s\n",
			entry.At.Format(time.RFC3339Nano), entry.Reason, entry.Group.Term, entry.Group.Fence, entry.Group.Primary)
	}
}
