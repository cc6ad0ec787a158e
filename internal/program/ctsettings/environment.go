package ctsettings

import (
	"strings"

	"github.com/spf13/pflag"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// Prefix begins the names of all environment variables that are settings.
const Prefix = "CHERVILTRESTLE_"

// VariableOf returns the environment variable of a flag.
func VariableOf(flag string) string {
	return Prefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// FromEnvironment sets the flags that were not given on the command line from
// the environment, which is a list of name=value.
func FromEnvironment(flags *pflag.FlagSet, environment []string) error {
	byVariable := make(map[string]*pflag.Flag)
	flags.VisitAll(func(f *pflag.Flag) { byVariable[VariableOf(f.Name)] = f })
	for _, entry := range environment {
		name, value, _ := strings.Cut(entry, "=")
		if !strings.HasPrefix(name, Prefix) {
			continue
		}
		flag, ok := byVariable[name]
		if !ok {
			return cterror.Newf(cterror.Invalid, "correct or remove it; the flags in --help name all settings",
				"environment variable %s is no setting of this command", name)
		}
		if flag.Changed {
			continue
		}
		if err := flags.Set(flag.Name, value); err != nil {
			return cterror.Wrap(cterror.Invalid, err, "read environment variable "+name, "correct its value")
		}
	}
	return nil
}
