package ctsettings

import (
	"github.com/rs/zerolog"
	"github.com/spf13/pflag"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// Common holds the settings that every process has.
type Common struct {
	// HTTP is the TCP address of the HTTP server.
	HTTP Address
	// KeyFolder is the folder with the keys and certificates of the process, as
	// ctkey.Issue creates it.
	KeyFolder string
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

// Register declares the settings as flags.
func (c *Common) Register(flags *pflag.FlagSet) {
	textVar(flags, &c.HTTP, "http-listen", "address", "TCP address for announcements, health, metrics and operators")
	flags.StringVar(&c.KeyFolder, "keys", "", "key folder of this process")
	flags.StringVar(&c.LogLevel, "log-level", "info", "debug, info, warn or error; decisions are logged at info")
}

// Check returns an error of kind cterror.Invalid for the first setting that is
// missing or unknown.
func (c *Common) Check() error {
	if !c.HTTP.IsValid() {
		return missingError("http-listen")
	}
	if c.KeyFolder == "" {
		return missingError("keys")
	}
	if _, err := zerolog.ParseLevel(c.LogLevel); err != nil || c.LogLevel == "" {
		return cterror.Newf(cterror.Invalid, "use debug, info, warn or error", "--log-level %q is unknown", c.LogLevel)
	}
	return nil
}
