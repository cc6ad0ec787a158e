package ctcommand

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"sigs.k8s.io/yaml"

	"github.com/cherviltrestle/cherviltrestle/internal/decide/ctregister"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctconfig"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/model/ctid"
)

// pathConfig is the HTTP path at which control serves the configuration.
const pathConfig = "/v1/config"

// changeIDBytes is the size of a generated change id. In text an id is twice as long,
// because it is written in hexadecimal.
const changeIDBytes = 8

func newConfig(environment Environment) *cobra.Command {
	command := &cobra.Command{
		Use:   "config",
		Short: "Read and change the configuration of the fleet",
	}
	command.AddCommand(newConfigApply(environment), newConfigGet(), newConfigHistory(), newConfigCheck(), newConfigDiff())
	return command
}

// applyCommand is the command config apply; its fields are the values of the flags.
type applyCommand struct {
	client
	file   string
	base   uint64
	id     string
	author string
}

func newConfigApply(environment Environment) *cobra.Command {
	var a applyCommand
	command := &cobra.Command{
		Use:   "apply",
		Short: "Replace the configuration",
		Long: "Replace the configuration with that of a file. The change is accepted only if nobody has changed the\n" +
			"configuration since the revision given with --base. After a lost answer, apply again with the same --id:\n" +
			"the change is accepted once, and the first answer comes again.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return a.run(command) },
	}
	a.register(command.Flags())
	command.Flags().StringVar(&a.file, "file", "", "YAML file with the whole configuration")
	command.Flags().Uint64Var(&a.base, "base", 0, "revision that the change builds on; 0 for the first")
	command.Flags().StringVar(&a.id, "id", "", "id of the change; a random one is made where it is not given")
	command.Flags().StringVar(&a.author, "author", "", "who makes the change")
	command.SetErr(environment.Err)
	return command
}

// run sends the change to control. An error names the change id, with which the
// operator can apply the change again.
func (a *applyCommand) run(command *cobra.Command) error {
	document, err := readDocument(a.file)
	if err != nil {
		return err
	}
	if a.id == "" {
		if a.id, err = newChangeID(); err != nil {
			return err
		}
	}
	change := ctconfig.Change{
		ID:       ctid.Change(a.id),
		Base:     ctid.Revision(a.base),
		Author:   a.author,
		Document: document,
	}
	if err := change.Check(); err != nil {
		return err
	}
	var accepted ctconfig.AcceptedChange
	if err := a.call(command.Context(), http.MethodPost, pathConfig, change, &accepted); err != nil {
		return errors.WithMessage(err, "change "+a.id)
	}
	return a.print(command, accepted, func() {
		command.Printf("accepted as revision %s (change %s); see status for where it is in force\n",
			accepted.Revision, accepted.Change.ID)
	})
}

func newConfigGet() *cobra.Command {
	var c client
	command := &cobra.Command{
		Use:   "get",
		Short: "Show the newest configuration as a file that apply takes",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			newest, err := c.newestConfig(command)
			if err != nil {
				return err
			}
			if newest.Revision == 0 {
				return cterror.New(cterror.Unavailable, "there is no configuration yet", "apply one")
			}
			data, err := yaml.Marshal(newest.Change.Document)
			if err != nil {
				return errors.Wrap(err, "encode the configuration")
			}
			return c.print(command, newest, func() {
				command.Printf("# revision %s\n%s", newest.Revision, data)
			})
		},
	}
	c.register(command.Flags())
	return command
}

func newConfigHistory() *cobra.Command {
	var c client
	command := &cobra.Command{
		Use:   "history",
		Short: "List the accepted changes",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			history, err := c.configHistory(command)
			if err != nil {
				return err
			}
			return c.print(command, history, func() {
				for _, a := range history {
					command.Printf("%s\t%s\t%s\t%s\n", a.Revision, a.AcceptedAt.Format("2006-01-02T15:04:05Z07:00"),
						a.Change.Author, a.Change.ID)
				}
			})
		},
	}
	c.register(command.Flags())
	return command
}

func newConfigCheck() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "check",
		Short: "Check a configuration file without applying it",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			document, err := readDocument(file)
			if err != nil {
				return err
			}
			command.Printf("%d groups, %d exceptions: valid\n", len(document.Groups), len(document.Exceptions))
			return nil
		},
	}
	command.Flags().StringVar(&file, "file", "", "YAML file with the whole configuration")
	return command
}

// configHistory requests the accepted changes from control, oldest first.
func (c *client) configHistory(command *cobra.Command) ([]ctconfig.AcceptedChange, error) {
	var history []ctconfig.AcceptedChange
	err := c.call(command.Context(), http.MethodGet, pathConfig, nil, &history)
	return history, err
}

// newestConfig requests the newest accepted change from control. It returns the zero
// value if no change has been accepted yet.
func (c *client) newestConfig(command *cobra.Command) (ctconfig.AcceptedChange, error) {
	history, err := c.configHistory(command)
	register := ctregister.Register{ConfigHistory: history}
	return register.CurrentConfig(), err
}

// readDocument reads and checks a configuration file in YAML. Unknown fields are
// errors.
func readDocument(file string) (ctconfig.Document, error) {
	var document ctconfig.Document
	data, err := os.ReadFile(file)
	if err != nil {
		return document, cterror.Wrap(cterror.Invalid, err, "read the configuration", "name a file with --file")
	}
	if err := yaml.UnmarshalStrict(data, &document); err != nil {
		return document, cterror.Wrap(cterror.Invalid, err, "read "+file, "correct the file")
	}
	return document, document.Check()
}

// newChangeID returns a random change id.
func newChangeID() (string, error) {
	var id [changeIDBytes]byte
	if _, err := rand.Read(id[:]); err != nil {
		return "", errors.Wrap(err, "make a change id")
	}
	return hex.EncodeToString(id[:]), nil
}
