package ctcommand

import (
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/cherviltrestle/cherviltrestle/internal/program/ctsettings"
)

// newSettings returns the hidden command that prints the text of docs/SETTINGS.md.
func newSettings() *cobra.Command {
	return &cobra.Command{
		Use:    "settings",
		Short:  "Print the settings of the processes as a page",
		Hidden: true,
		Args:   cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			command.Print(settingsPage())
		},
	}
}

// settingsPage renders the settings of all processes in Markdown.
func settingsPage() string {
	var proxy ctsettings.Proxy
	var control ctsettings.Control
	return "# Settings\n\n" +
		"Every setting is a flag and an environment variable; the flag goes first. This page is made by\n" +
		"`cherviltrestle settings` and checked by a test.\n\n" +
		"## cherviltrestle proxy\n\n" + settingsTable(&proxy) +
		"\n## cherviltrestle control\n\n" + settingsTable(&control)
}

// settingsTable renders the settings of one process as a Markdown table.
func settingsTable(s processSettings) string {
	flags := pflag.NewFlagSet("", pflag.ContinueOnError)
	s.Register(flags)
	return ctsettings.MarkdownTable(flags)
}
