package ctcommand

import (
	"net/http"

	"github.com/spf13/cobra"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctcontrol"
)

// newControlRemove returns the command that removes a control process from the voters
// of the replicated log.
func newControlRemove() *cobra.Command {
	var c client
	command := &cobra.Command{
		Use:   "remove NAME",
		Short: "Remove a control process whose VM is gone for good from the voters",
		Long: "Remove a control process whose VM is gone for good from the voters. Stop it first if it still runs:\n" +
			"a running one joins again by itself. One that has only lost its disk needs no removal.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			var name ctid.Control
			if err := name.UnmarshalText([]byte(arguments[0])); err != nil {
				return err
			}
			return c.removeVoter(command, name)
		},
	}
	c.register(command.Flags())
	return command
}

// removeVoter requests the removal from control.
func (c *client) removeVoter(command *cobra.Command, name ctid.Control) error {
	removal := ctcontrol.RemoveVoterRequest{Name: name}
	if err := c.call(command.Context(), http.MethodPost, "/v1/voters/remove", removal, nil); err != nil {
		return err
	}
	command.Printf("%s is no voter any more\n", name)
	return nil
}
