/*
Package ctsettings reads the settings of a process from flags and environment
variables.

# Flags and variables

Every setting is both a flag and an environment variable. The variable has the
flag's name in upper case, with underscores and the prefix CHERVILTRESTLE_: the flag
--control-address is the variable CHERVILTRESTLE_CONTROL_ADDRESS. A flag overrides
its variable. An unknown variable with the prefix is an error; otherwise a misspelt
setting would have no effect.

# Usage

	var settings ctsettings.Proxy
	settings.Register(command.Flags())
	if err := ctsettings.ApplyEnvironment(command.Flags(), os.Environ()); err != nil {
		return err
	}
	if err := settings.Check(); err != nil {
		return err
	}
*/
package ctsettings
