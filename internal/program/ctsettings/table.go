package ctsettings

import (
	"fmt"
	"strings"

	"github.com/spf13/pflag"
)

// MarkdownTable renders the settings of a command as a table in Markdown.
func MarkdownTable(flags *pflag.FlagSet) string {
	var out strings.Builder
	out.WriteString("| flag | variable | default | meaning |\n| --- | --- | --- | --- |\n")
	flags.VisitAll(func(f *pflag.Flag) {
		if f.Name == "help" {
			return
		}
		shown := f.DefValue
		if shown == "" {
			shown = "none"
		}
		fmt.Fprintf(&out, "| `--%s` | `%s` | %s | %s |\n", f.Name, VariableName(f.Name), shown, f.Usage)
	})
	return out.String()
}
