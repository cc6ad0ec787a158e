/*
Package ctsettings reads the settings of a process from flags and environment
variables.

# Flags and variables

Every setting is a flag, and an environment variable of the same name with the
prefix CHERVILTRESTLE_, in upper case and with underscores: the flag
--control-address is the variable CHERVILTRESTLE_CONTROL_ADDRESS. A flag goes
before its variable. A variable with the prefix that is no setting is an error,
so that a misspelt one is not passed over.

# Usage

	var settings ctsettings.Proxy
	settings.Register(command.Flags())
	if err := ctsettings.FromEnvironment(command.Flags(), os.Environ()); err != nil {
		return err
	}
	if err := settings.Check(); err != nil {
		return err
	}
*/
package ctsettings
