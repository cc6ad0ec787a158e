package ctcommand

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/cherviltrestle/cherviltrestle/internal/link/ctkey"
)

func newKeys(environment Environment) *cobra.Command {
	command := &cobra.Command{
		Use:   "keys",
		Short: "Create the keys with which the processes authenticate each other",
	}
	command.AddCommand(newKeysCreate(), newKeysIssue(), newKeysAddToken())
	command.SetOut(environment.Out)
	return command
}

func newKeysCreate() *cobra.Command {
	return &cobra.Command{
		Use:   "create FOLDER",
		Short: "Create the authority and the token key of a new fleet",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			if err := ctkey.CreateAuthority(arguments[0], "cherviltrestle", time.Now()); err != nil {
				return err
			}
			command.Printf("created the authority in %s; keep ca.key off the VMs\n", arguments[0])
			return nil
		},
	}
}

func newKeysIssue() *cobra.Command {
	return &cobra.Command{
		Use:   "issue FOLDER TARGET PROCESS",
		Short: "Issue the key folder of a process, signed by the authority in FOLDER",
		Args:  cobra.ExactArgs(3),
		RunE: func(command *cobra.Command, arguments []string) error {
			if err := ctkey.Issue(arguments[0], arguments[1], arguments[2], time.Now()); err != nil {
				return err
			}
			command.Printf("issued %s for %s\n", arguments[1], arguments[2])
			return nil
		},
	}
}

func newKeysAddToken() *cobra.Command {
	return &cobra.Command{
		Use:   "add-token FOLDER",
		Short: "Put a new token key in front of those in FOLDER",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			if err := ctkey.AddTokenKey(arguments[0]); err != nil {
				return err
			}
			command.Printf("added a token key in %s\n", arguments[0])
			return nil
		},
	}
}
