/*
Package cterror defines the typed errors of the project.

# Kinds

Every error has a kind, a message and a remedy. Code decides by the Kind how to
handle the error. The message says what is wrong, and the remedy what the reader
can do about it. There are few kinds: each exists because some code handles it
differently from the others.

# Usage

	err := cterror.New(cterror.Invalid, "port is 0", "give a port from 1 to 65535")
	if cterror.KindOf(err) == cterror.Invalid {
		...
	}

Errors may be wrapped with github.com/pkg/errors. KindOf unwraps them.
*/
package cterror
