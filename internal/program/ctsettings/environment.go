package ctsettings

import (
	"strings"

	"github.com/spf13/pflag"

	"github.com/cherviltrestle/cherviltrestle/internal/model/cterror"
)

// VariablePrefix is the prefix of all environment variables that are settings.
const VariablePrefix = "CHERVILTRESTLE_"

// VariableName returns the name of a flag's environment variable.
func VariableName(flag string) string {
	return VariablePrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// ApplyEnvironment sets the flags that were not given on the command line from the
// environment, a list of name=value as in os.Environ. It returns an error of kind
// cterror.Invalid for a variable with VariablePrefix that belongs to no flag, and for
// a value that can't be decoded.
func ApplyEnvironment(flags *pflag.FlagSet, environment []string) error {
	byVariable := make(map[string]*pflag.Flag)
	flags.VisitAll(func(f *pflag.Flag) { byVariable[VariableName(f.Name)] = f })
	for _, entry := range environment {
		name, value, _ := strings.Cut(entry, "=")
		if !strings.HasPrefix(name, VariablePrefix) {
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
