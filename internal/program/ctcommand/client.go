package ctcommand

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/cherviltrestle/cherviltrestle/internal/link/cthttp"
	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
	"github.com/cherviltrestle/cherviltrestle/internal/program/ctsettings"
)

// callTimeout bounds one call of one control process, so that one that does not
// answer leaves time for the others. A change that was sent twice for that is
// accepted once, because it has one id.
const callTimeout = 3 * time.Second

// The forms of output.
const (
	outputText = "text"
	outputJSON = "json"
)

// client calls control for an operator.
type client struct {
	control ctsettings.Addresses
	output  string
}

// register declares the client's flags.
func (c *client) register(flags *pflag.FlagSet) {
	flags.Var(ctsettings.TextValue(&c.control, "addresses"), "control-http",
		"HTTP addresses of control processes, with commas; they are tried in turn")
	flags.StringVar(&c.output, "output", outputText, "text or json")
}

// check reports the first flag that is missing or out of bounds.
func (c *client) check() error {
	if len(c.control) == 0 {
		return cterror.New(cterror.Invalid, "--control-http is missing", "give the HTTP address of a control process")
	}
	if c.output != outputText && c.output != outputJSON {
		return cterror.Newf(cterror.Invalid, "use text or json", "--output %q is unknown", c.output)
	}
	return nil
}

// call calls control and decodes its answer.
func (c *client) call(ctx context.Context, method, path string, body, answer any) error {
	if err := c.check(); err != nil {
		return err
	}
	var err error
	for _, address := range c.control {
		err = callAddress(ctx, method, "http://"+address.String()+path, body, answer)
		if cterror.KindOf(err) != cterror.Unavailable {
			return err
		}
	}
	return err
}

func callAddress(ctx context.Context, method, url string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return cthttp.Call(ctx, http.DefaultClient, method, url, body, answer)
}

// print writes a value as JSON where that was asked for, and as text by show
// otherwise.
func (c *client) print(command *cobra.Command, value any, printText func()) error {
	if c.output != outputJSON {
		printText()
		return nil
	}
	encoder := json.NewEncoder(command.OutOrStdout())
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
