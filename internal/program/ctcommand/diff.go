package ctcommand

import (
	"fmt"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"sigs.k8s.io/yaml"

	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// configDifference describes what applying a configuration file would change.
type configDifference struct {
	// Base is the revision with which the file was compared.
	Base           ctid.Revision     `json:"base"`
	Patch          ctconfig.Patch    `json:"patch"`
	DefaultsBefore ctconfig.Settings `json:"defaults_before"`
}

func newConfigDiff() *cobra.Command {
	var c client
	var file string
	command := &cobra.Command{
		Use:   "diff",
		Short: "Show what applying a configuration file would change",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			document, err := readDocument(file)
			if err != nil {
				return err
			}
			newest, err := c.newestConfig(command)
			if err != nil {
				return err
			}
			d := compareConfig(&newest, &document)
			text, err := d.text()
			if err != nil {
				return err
			}
			return c.print(command, d, func() { command.Print(text) })
		},
	}
	c.register(command.Flags())
	command.Flags().StringVar(&file, "file", "", "YAML file with the whole configuration")
	return command
}

// compareConfig returns the difference between the newest accepted configuration and
// a document.
func compareConfig(newest *ctconfig.AcceptedChange, document *ctconfig.Document) *configDifference {
	before := &newest.Change.Document
	return &configDifference{
		Base:           newest.Revision,
		Patch:          ctconfig.Diff(before, document),
		DefaultsBefore: before.Defaults,
	}
}

// text returns the difference in readable form. Added and changed entries are marked
// with +, removed ones with -. Changed defaults are shown before and after the change.
func (d *configDifference) text() (string, error) {
	text := fmt.Sprintf("against revision %s; apply with --base %d\n", d.Base, d.Base)
	if d.Patch.Defaults != d.DefaultsBefore {
		for _, side := range []struct {
			mark     string
			settings ctconfig.Settings
		}{{"-", d.DefaultsBefore}, {"+", d.Patch.Defaults}} {
			data, err := yaml.Marshal(side.settings)
			if err != nil {
				return "", errors.Wrap(err, "encode the defaults")
			}
			text += side.mark + " defaults:\n" + string(data)
		}
	}
	for _, g := range d.Patch.Groups {
		text += fmt.Sprintf("+ group %s: size %d\n", g.Name, g.Size)
	}
	for _, g := range d.Patch.RemovedGroups {
		text += fmt.Sprintf("- group %s\n", g)
	}
	for i := range d.Patch.Exceptions {
		e := &d.Patch.Exceptions[i]
		text += fmt.Sprintf("+ exception for %s: %s (%s)\n", e.Group, e.Reason, e.ExpiryText())
	}
	for _, g := range d.Patch.RemovedExceptions {
		text += fmt.Sprintf("- exception for %s\n", g)
	}
	return text, nil
}
