package ctsettings

import (
	"fmt"
	"strings"

	"github.com/spf13/pflag"
)

// MarkdownTable renders the settings of a command as a Markdown table, with one row
// per flag except --help.
func MarkdownTable(flags *pflag.FlagSet) string {
	var out strings.Builder
	out.WriteString("| flag | variable | default | meaning |\n| --- | --- | --- | --- |\n")
	flags.VisitAll(func(f *pflag.Flag) {
		if f.Name == "help" {
			return
		}
		defaultText := f.DefValue
		if defaultText == "" {
			defaultText = "none"
		}
		fmt.Fprintf(&out, "| `--%s` | `%s` | %s | %s |\n", f.Name, VariableName(f.Name), defaultText, f.Usage)
	})
	return out.String()
}
