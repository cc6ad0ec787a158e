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

// callTimeout bounds the call of one control process. If that process does not answer
// in time, the client calls the next one. A change may therefore be sent twice, but
// control accepts it only once, because both requests have the same change id.
const callTimeout = 3 * time.Second

// The formats of the flag --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// client calls control's HTTP interface and prints the results. Its fields are the
// values of its flags.
type client struct {
	// control has the addresses of control processes.
	control ctsettings.Addresses
	// output is outputText or outputJSON.
	output string
}

// register declares the client's flags.
func (c *client) register(flags *pflag.FlagSet) {
	flags.Var(ctsettings.TextValue(&c.control, "addresses"), "control-http",
		"HTTP addresses of control processes, with commas; they are tried in turn")
	flags.StringVar(&c.output, "output", outputText, "text or json")
}

// check returns an error of kind cterror.Invalid for a missing address or an unknown
// output format.
func (c *client) check() error {
	if len(c.control) == 0 {
		return cterror.New(cterror.Invalid, "--control-http is missing", "give the HTTP address of a control process")
	}
	if c.output != outputText && c.output != outputJSON {
		return cterror.Newf(cterror.Invalid, "use text or json", "--output %q is unknown", c.output)
	}
	return nil
}

// call calls the control processes one after the other until one is available, and
// decodes its answer. body and answer may be nil.
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

// callAddress calls one control process, for at most callTimeout.
func callAddress(ctx context.Context, method, url string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return cthttp.Call(ctx, http.DefaultClient, method, url, body, answer)
}

// print writes value as JSON if the output format is JSON. Otherwise it calls
// printText.
func (c *client) print(command *cobra.Command, value any, printText func()) error {
	if c.output != outputJSON {
		printText()
		return nil
	}
	encoder := json.NewEncoder(command.OutOrStdout())
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
