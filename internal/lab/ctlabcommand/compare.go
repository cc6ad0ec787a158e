package ctlabcommand

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/cherviltrestle/cherviltrestle/internal/lab/ctload"
)

// newCompare returns the command that compares two results of a load.
func newCompare() *cobra.Command {
	return &cobra.Command{
		Use:   "compare BEFORE AFTER",
		Short: "Compare two results that load has printed as JSON",
		Args:  cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, arguments []string) error {
			before, err := readResult(arguments[0])
			if err != nil {
				return err
			}
			after, err := readResult(arguments[1])
			if err != nil {
				return err
			}
			command.Print(ctload.Compare(before, after))
			return nil
		},
	}
}

// readResult reads the JSON output of the load command from a file.
func readResult(file string) (*ctload.Result, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read a result")
	}
	result := &ctload.Result{}
	return result, errors.Wrap(json.Unmarshal(data, result), "decode "+file+": it must be the output of load --json")
}
