/*
Package cterror defines the typed errors of the project.

# Kinds

Every error has a Kind, which tells the code what to do, a message, which tells
what was found, and a remedy, which tells the reader what to do about it. Kinds
are few; a new kind is added only where some caller must act differently.

# Usage

	err := cterror.New(cterror.Invalid, "port is 0", "give a port from 1 to 65535")
	if cterror.KindOf(err) == cterror.Invalid {
		...
	}

Errors may be wrapped with github.com/pkg/errors; KindOf looks through the
wrapping.
*/
package cterror
